//! Members of the roster and of the membership protocol.

use cloverpost_core::{membership, spread, time};
use cloverpost_wire::Message;

use crate::slopes::probe::{digest, encoding, heartbeat};
use crate::slopes::{Meter, Quantity, Unit, fixture, meter};

/// Fleet sizes.
pub const FLEET_SIZES: &[usize] = &[9, 90, 315, 630];
/// State machines allocated at each size, to reduce the rounding to whole pages.
const COPIES: usize = 32;

/// Measures the memory per member.
pub fn measure_memory(meter: &mut Meter) {
    for &size in FLEET_SIZES {
        let encoded = encoding::encode(&fixture::roster(size));
        let growth = meter.memory_growth(|| machines(&encoded));
        let bytes_each = growth / meter::count_to_f64(COPIES);
        let what = "state machine of the catalogue's spread";
        meter.record(
            Unit::Member,
            what,
            "members",
            Quantity::Memory,
            size,
            bytes_each,
        );
    }
    for &size in FLEET_SIZES {
        let growth = meter.memory_growth(|| {
            let fleets = (0..COPIES).map(|_| heartbeat::fleet(0, size));
            fleets.collect::<Vec<_>>()
        });
        let bytes_each = growth / meter::count_to_f64(COPIES);
        let what = "state machine of membership";
        meter.record(
            Unit::Member,
            what,
            "members",
            Quantity::Memory,
            size,
            bytes_each,
        );
    }
}

/// Creates state machines that each decode the roster, so that they share no names.
fn machines(encoded: &[u8]) -> Vec<spread::Machine> {
    let decode = |_| {
        let config = bincode::config::standard();
        let (roster, _) =
            bincode::serde::decode_from_slice(encoded, config).expect("encoded data should decode");
        digest::machine(0, roster)
    };
    (0..COPIES).map(decode).collect()
}

/// Measures messages that contain all members, and the CPU time of a roster change.
pub fn measure_messages(meter: &mut Meter) {
    for &size in FLEET_SIZES {
        let roster = fixture::roster(size);
        let bytes = encoding::frame_len(&Message::Spread(spread::Message::Roster(roster.clone())));
        let mut record = |what, quantity, cost| {
            meter.record(Unit::Member, what, "members", quantity, size, cost);
        };
        record(
            "whole roster",
            Quantity::Received,
            meter::count_to_f64(bytes),
        );
        let members = (0..size).map(fixture::member).collect();
        let sync = Message::Membership(membership::Message::Sync { members });
        let bytes = encoding::frame_len(&sync);
        record(
            "all records of membership",
            Quantity::Received,
            meter::count_to_f64(bytes),
        );
        let cpu = meter.cpu_nanos_with(
            || {
                (
                    digest::machine(0, roster.clone()),
                    roster.with(fixture::roster_member(size)),
                )
            },
            |(mut machine, next)| {
                let message = spread::Message::Roster(next);
                let from = fixture::vm(1);
                let event = spread::Event::Message { from, message };
                machine.step(event, time::Moment::from_millis(2), &mut fixture::rng());
            },
        );
        meter.record(
            Unit::Member,
            "change of the roster",
            "members",
            Quantity::Cpu,
            size,
            cpu,
        );
    }
}
