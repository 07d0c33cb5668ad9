//! Simulated versions.

use std::time::Duration;

/// Actual properties of a version, with the quality declared for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Version {
    pub(super) name: &'static str,
    /// Mean cost of an answer in micro-units.
    pub(super) cost: f64,
    /// Mean latency of an answer.
    pub(super) latency: Duration,
    /// Pass rate over all organisations.
    pub(super) quality: f64,
    /// Pass rate declared in the catalogue, which may be inaccurate.
    pub(super) declared: f64,
}

impl Version {
    const fn new(name: &'static str, cost: f64, millis: u64, quality: f64, declared: f64) -> Self {
        Self {
            name,
            cost,
            latency: Duration::from_millis(millis),
            quality,
            declared,
        }
    }
}

/// Versions for briefs.
pub(super) const BRIEFS: [Version; 4] = [
    Version::new("brief-small", 100.0, 2_000, 0.70, 0.85),
    Version::new("brief-medium", 300.0, 4_000, 0.86, 0.90),
    Version::new("brief-former", 900.0, 8_000, 0.93, 0.95),
    Version::new("brief-large", 1_000.0, 8_000, 0.96, 0.96),
];

/// Versions for tags.
pub(super) const TAGS: [Version; 3] = [
    Version::new("tag-tiny", 20.0, 150, 0.80, 0.90),
    Version::new("tag-small", 50.0, 300, 0.94, 0.92),
    Version::new("tag-large", 300.0, 900, 0.97, 0.97),
];

/// Versions for build sheets.
pub(super) const SHEETS: [Version; 4] = [
    Version::new("sheet-small", 80.0, 1_000, 0.82, 0.88),
    Version::new("sheet-medium", 250.0, 1_600, 0.94, 0.93),
    Version::new("sheet-former", 850.0, 4_000, 0.95, 0.95),
    Version::new("sheet-large", 900.0, 4_000, 0.97, 0.97),
];
