//! What repeats to a service are bound by.

use std::time::Duration;

/// Part of the share that a request earns for repeats of any moment. The rest is what may be
/// kept of it, in proportion to the requests of the last window.
const EARNED: f64 = 0.75;

/// What one VM may send again to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Repeats for each first send.
    pub share: f64,
    /// Repeats on top.
    pub slack: f64,
    /// Span of time over which they are counted.
    pub window: Duration,
}

impl Terms {
    /// Repeats that one first send earns.
    pub(super) fn earned(&self) -> f64 {
        self.share * EARNED
    }

    /// Repeats that may be kept after `firsts` first sends within the last window.
    pub(super) fn most_kept(&self, firsts: u32) -> f64 {
        f64::from(firsts) * self.share * (1.0 - EARNED) + self.slack
    }
}
