//! Settings of the upstream choice.

use std::time::Duration;

/// Decay of load reports and load bound of affinity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Age at which the weight of a load report is one half.
    pub report_half_life: Duration,
    /// Maximum load of a preferred upstream, as a multiple of the pool's mean.
    pub affinity_bound: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            report_half_life: Duration::from_secs(1),
            affinity_bound: 1.25,
        }
    }
}
