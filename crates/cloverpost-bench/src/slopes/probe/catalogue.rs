//! Entries and organisations of the catalogue.

use cloverpost_core::catalogue::Catalogue;

use crate::slopes::{Meter, Quantity, Unit, fixture, meter};

/// Numbers of entries or organisations.
pub const SIZES: &[usize] = &[10, 50, 100, 200, 400];
/// Number of the other kind, which is kept constant.
pub const FIXED_COUNT: usize = 10;
/// Catalogues allocated at each size.
const COPIES: usize = 40;

/// Returns catalogue texts with an increasing number of entries, then of organisations.
pub fn texts(price: u64) -> impl Iterator<Item = (Unit, &'static str, usize, String)> {
    let entries = SIZES.iter().map(move |&size| {
        let text = fixture::catalogue(size, FIXED_COUNT, price);
        (Unit::Entry, "entries", size, text)
    });
    let organisations = SIZES.iter().map(move |&size| {
        let text = fixture::catalogue(FIXED_COUNT, size, price);
        (Unit::Organisation, "organisations", size, text)
    });
    entries.chain(organisations)
}

/// Measures the memory of a catalogue.
pub fn measure_memory(meter: &mut Meter) {
    for (unit, by, size, text) in texts(1) {
        // Parse once beforehand, so that temporary memory of the parser does not count as growth.
        drop(parse(&text));
        let growth = meter.memory_growth(|| {
            let copies = (0..COPIES).map(|_| parse(&text));
            copies.collect::<Vec<_>>()
        });
        let bytes_each = growth / meter::count_to_f64(COPIES);
        meter.record(
            unit,
            "catalogue in memory",
            by,
            Quantity::Memory,
            size,
            bytes_each,
        );
    }
}

/// Measures the CPU time of parsing and the size of the catalogue text.
pub fn measure_costs(meter: &mut Meter) {
    for (unit, by, size, text) in texts(1) {
        let cpu = meter.cpu_nanos(|| drop(std::hint::black_box(parse(&text))));
        meter.record(
            unit,
            "catalogue read from TOML",
            by,
            Quantity::Cpu,
            size,
            cpu,
        );
        let bytes = meter::count_to_f64(text.len());
        meter.record(
            unit,
            "catalogue's text",
            by,
            Quantity::Received,
            size,
            bytes,
        );
    }
}

fn parse(text: &str) -> Catalogue {
    Catalogue::from_toml(text).expect("catalogue should be valid")
}
