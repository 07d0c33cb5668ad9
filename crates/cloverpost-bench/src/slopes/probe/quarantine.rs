//! Quarantine facts about requests that crash upstreams.

use std::time::Duration;

use cloverpost_core::poison::{Evidence, Fact, Fingerprint, Mark, Options, Register};
use cloverpost_core::{id, time};

use crate::slopes::probe::encoding;
use crate::slopes::{Meter, Quantity, Unit, fixture, meter};

/// Numbers of facts.
const COUNTS: &[usize] = &[64, 256, 1024, 4096];
/// Registers allocated at each size.
const COPIES: usize = 32;

fn fact(index: usize) -> Fact {
    let body = index.to_be_bytes();
    let mut rng = fixture::rng();
    Fact::Mark(Mark {
        feature: Fingerprint::of(&fixture::organisation(index % 100), &body).into(),
        evidence: Evidence {
            request: id::Request::random(&mut rng),
            upstream: fixture::vm(index),
        },
        is_confirmed: false,
        remaining: Duration::from_mins(5),
    })
}

fn register(facts: Vec<Fact>) -> Register {
    let now = time::Moment::from_millis(1);
    let mut register = Register::new(Options::default());
    for fact in facts {
        register.merge(fact, now);
    }
    register
}

fn facts(size: usize) -> Vec<Fact> {
    (0..size).map(fact).collect()
}

/// Measures the memory of a register.
pub fn measure_memory(meter: &mut Meter) {
    for &size in COUNTS {
        let growth = meter.memory_growth(|| {
            let copies = (0..COPIES).map(|_| register(facts(size)));
            copies.collect::<Vec<_>>()
        });
        let bytes_each = growth / meter::count_to_f64(COPIES);
        let what = "register of facts";
        meter.record(
            Unit::Quarantine,
            what,
            "facts",
            Quantity::Memory,
            size,
            bytes_each,
        );
    }
}

/// Measures the CPU time and bytes of transferring all facts to a VM.
pub fn measure_costs(meter: &mut Meter) {
    let now = time::Moment::from_millis(1);
    for &size in COUNTS {
        let facts = facts(size);
        let full = register(facts.clone());
        let bytes: usize = full
            .facts(now)
            .map(|fact| encoding::encode(&fact).len())
            .sum();
        let cpu = meter.cpu_nanos_with(|| facts.clone(), |facts| drop(register(facts)));
        let mut record = |quantity, cost| {
            let what = "facts taken in";
            meter.record(Unit::Quarantine, what, "facts", quantity, size, cost);
        };
        record(Quantity::Cpu, cpu);
        record(Quantity::Received, meter::count_to_f64(bytes));
    }
}
