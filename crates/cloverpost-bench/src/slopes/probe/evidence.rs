//! Rating counts per VM, entry and organisation.

use cloverpost_core::evidence::{Counts, Key, Ledger, Source};
use cloverpost_core::{id, plan};

use crate::slopes::probe::encoding;
use crate::slopes::{Meter, Quantity, Unit, fixture, meter};

/// Numbers of counts.
const COUNTS: &[usize] = &[630, 2520, 6300, 12_600];
/// Numbers of counts for the memory measurement.
const MEMORY_SIZES: &[usize] = &[12_600, 25_200, 50_400, 100_800];
/// Counts per VM.
const KEYS_PER_VM: usize = 20;

fn source(index: usize) -> Source {
    Source {
        vm: fixture::vm(index / KEYS_PER_VM),
        process: id::Process::new(1),
    }
}

fn key(index: usize) -> Key {
    Key {
        entry: fixture::entry(index % KEYS_PER_VM % 2),
        organisation: fixture::organisation(index % KEYS_PER_VM / 2),
        after: None,
    }
}

fn counts(size: usize) -> Vec<(Source, Key, Counts)> {
    let counts = Counts {
        passes: 9_000,
        fails: 400,
    };
    (0..size)
        .map(|index| (source(index), key(index), counts))
        .collect()
}

fn ledger(counts: &[(Source, Key, Counts)]) -> Ledger {
    let mut ledger = Ledger::default();
    for (source, key, counts) in counts {
        ledger.merge(source, key, *counts);
    }
    ledger
}

/// Measures the memory of a ledger.
pub fn measure_memory(meter: &mut Meter) {
    for &size in MEMORY_SIZES {
        let growth = meter.memory_growth(|| {
            let mut ledger = Ledger::default();
            for index in 0..size {
                // Each count has its own copies of the names, as when it is decoded from a message.
                ledger.merge(&source(index), &key(index), Counts::single(true));
            }
            ledger
        });
        meter.record(
            Unit::Evidence,
            "ledger",
            "counts",
            Quantity::Memory,
            size,
            growth,
        );
    }
}

/// Measures the CPU time and bytes of a digest of all counts.
pub fn measure_costs(meter: &mut Meter) {
    for &size in COUNTS {
        let counts = counts(size);
        let full = ledger(&counts);
        let bytes: usize = full
            .digest()
            .map(|count| encoding::encode(&count).len())
            .sum();
        let merge = meter.cpu_nanos(|| drop(std::hint::black_box(ledger(&counts))));
        let record_estimates = meter.cpu_nanos(|| {
            let mut estimates = plan::Estimates::default();
            for (_, key, counts) in &counts {
                estimates.record(key, *counts);
            }
            std::hint::black_box(&estimates);
        });
        let mut record = |what, quantity, cost| {
            meter.record(Unit::Evidence, what, "counts", quantity, size, cost);
        };
        record("digest of all counts merged", Quantity::Cpu, merge);
        record("counts taken into beliefs", Quantity::Cpu, record_estimates);
        record(
            "digest of all counts",
            Quantity::Received,
            meter::count_to_f64(bytes),
        );
    }
}
