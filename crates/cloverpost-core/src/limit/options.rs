//! Settings of a split limit.

use std::time::Duration;

/// Parameters of the redistribution of shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Delay before a share raised by a new generation takes effect.
    ///
    /// Must be at least the longest time in which a change reaches every live VM.
    pub raise_delay: Duration,
    /// Minimum surplus for a transfer, as a fraction of the entitlement.
    pub min_transfer_fraction: f64,
    /// Fraction of the limit split evenly regardless of demand, so that a VM without
    /// demand can admit its next request.
    pub even_fraction: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            raise_delay: Duration::from_secs(5),
            min_transfer_fraction: 0.1,
            even_fraction: 0.1,
        }
    }
}
