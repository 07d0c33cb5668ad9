//! Session tokens, which any VM can open without stored state.

use std::time::Duration;

use cloverpost_core::session::{Key, Keys, Token};
use cloverpost_core::{id, time};

use crate::slopes::{Meter, Quantity, Unit, fixture, meter};

/// Numbers of sessions.
const COUNTS: &[usize] = &[1, 4, 16, 64];

/// Measures the CPU time and bytes of tokens.
pub fn measure_costs(meter: &mut Meter) {
    let keys = Keys {
        current: Key::new([1; 32]),
        previous: Some(Key::new([2; 32])),
        max_age: Duration::from_hours(24),
    };
    let issued = time::Timestamp::from_millis(1_800_000_000_000);
    let mut rng = fixture::rng();
    let token = Token {
        organisation: fixture::organisation(1),
        entry: fixture::entry(1),
        version: fixture::parse_name("1"),
        issued,
        id: id::Session::random(&mut rng),
    };
    let text = keys.seal(&token);
    for &size in COUNTS {
        let seal = meter.cpu_nanos(|| {
            for _ in 0..size {
                std::hint::black_box(keys.seal(&token));
            }
        });
        let open = meter.cpu_nanos(|| {
            for _ in 0..size {
                let opened = keys.open(&text, &token.organisation, issued);
                std::hint::black_box(opened).expect("sealed token should open");
            }
        });
        let mut record = |what, quantity, cost| {
            meter.record(Unit::Session, what, "sessions", quantity, size, cost);
        };
        record("token sealed", Quantity::Cpu, seal);
        record("token opened", Quantity::Cpu, open);
        record(
            "token in a header",
            Quantity::Sent,
            meter::count_to_f64(size * text.len()),
        );
    }
}
