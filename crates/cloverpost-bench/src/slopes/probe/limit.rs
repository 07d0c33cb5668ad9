//! Rate limits of organisations, divided among the VMs.
//!
//! Each VM keeps a row per VM, and each row contains all members, so the memory and CPU time
//! of one limit grow quadratically with the size of the fleet.

use std::time::Duration;

use cloverpost_core::evidence::Source;
use cloverpost_core::limit::{Options, Row, Split};
use cloverpost_core::{id, time};

use crate::slopes::probe::encoding;
use crate::slopes::{Meter, Quantity, Unit, fixture, meter};

/// Fleet sizes.
const FLEET_SIZES: &[usize] = &[9, 45, 90, 180, 315];
/// Value of the limit.
const LIMIT: u64 = 100_000;

fn source(index: usize) -> Source {
    Source {
        vm: fixture::vm(index),
        process: id::Process::new(1),
    }
}

fn members(size: usize) -> Vec<Source> {
    (0..size).map(source).collect()
}

fn one_hour_later() -> time::Moment {
    time::Moment::default() + Duration::from_hours(1)
}

/// Returns the encoded row of the VM `index`, which has given a share to every other VM.
fn row(index: usize, size: usize) -> Vec<u8> {
    let members = members(size);
    let mut split = Split::new(
        source(index),
        LIMIT,
        &members,
        Options::default(),
        time::Moment::default(),
    );
    for peer in members.iter().filter(|peer| **peer != source(index)) {
        let mut demand_row = Row::new(split.row().generation, split.row().members.clone(), LIMIT);
        demand_row.revision = 1;
        split.merge(peer, &demand_row, one_hour_later());
    }
    split.balance(0, one_hour_later());
    encoding::encode(split.row())
}

/// Creates the state of a VM with the rows of all others, each decoded from a message.
fn split(size: usize) -> Split {
    let members = members(size);
    let start = time::Moment::default();
    let mut split = Split::new(source(0), LIMIT, &members, Options::default(), start);
    let encoded = row(1, size);
    for peer in &members[1..] {
        split.merge(peer, &decode(&encoded), one_hour_later());
    }
    split
}

fn decode(bytes: &[u8]) -> Row {
    let config = bincode::config::standard();
    let decoded = bincode::serde::decode_from_slice(bytes, config);
    decoded.expect("encoded data should decode").0
}

/// Measures the memory of one limit.
pub fn measure_memory(meter: &mut Meter) {
    for &size in FLEET_SIZES {
        let growth = meter.memory_growth(|| split(size));
        let what = "one limit, rows of all VMs";
        let pairs = size * size;
        meter.record(
            Unit::Limit,
            what,
            "members^2",
            Quantity::Memory,
            pairs,
            growth,
        );
    }
}

/// Measures the CPU time and bytes of one limit.
pub fn measure_costs(meter: &mut Meter) {
    for &size in FLEET_SIZES {
        let encoded = row(1, size);
        let mut split = split(size);
        let mut demand = 0;
        let balance = meter.cpu_nanos(|| {
            demand += 1;
            split.balance(demand, one_hour_later());
        });
        let share = meter.cpu_nanos(|| {
            std::hint::black_box(split.share(one_hour_later()));
        });
        let merge =
            meter.cpu_nanos(|| split.merge(&source(1), &decode(&encoded), one_hour_later()));
        let (pairs, bytes) = (size * size, meter::count_to_f64(encoded.len()));
        let mut record = |what, by, quantity, size, cost| {
            meter.record(Unit::Limit, what, by, quantity, size, cost);
        };
        record(
            "one limit balanced",
            "members^2",
            Quantity::Cpu,
            pairs,
            balance,
        );
        record(
            "share of one limit asked",
            "members^2",
            Quantity::Cpu,
            pairs,
            share,
        );
        record(
            "one row of one limit taken in",
            "members",
            Quantity::Cpu,
            size,
            merge,
        );
        record(
            "one row of one limit",
            "members",
            Quantity::Received,
            size,
            bytes,
        );
    }
}
