//! Limits on repeats to a service.

use std::time::Duration;

/// Limits on the repeats of one VM to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Repeats per first send.
    pub share: f64,
    /// Fraction of the share, from 0 to 1, that determines the credit reserved for bursts of
    /// failures, in proportion to the first sends of the last window. The remainder is earned
    /// by each first send.
    pub reserve_fraction: f64,
    /// Additional repeats, independent of traffic.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Limits {
    /// Repeats earned by one first send.
    pub(super) fn earned_per_send(&self) -> f64 {
        self.share * (1.0 - self.reserve_fraction)
    }

    /// Maximum credit after `firsts` first sends within the last window.
    pub(super) fn max_available(&self, firsts: u32) -> f64 {
        f64::from(firsts) * self.share * self.reserve_fraction + self.slack
    }
}
