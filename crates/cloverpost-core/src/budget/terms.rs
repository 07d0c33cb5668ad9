//! What repeats to a service are bound by.

use std::time::Duration;

/// What one VM may send again to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Repeats for each first send.
    pub share: f64,
    /// Part of the share, from 0 to 1, that bounds what is kept for clumps of failures, in
    /// proportion to the first sends of the last window. The rest is what each of them earns.
    pub kept: f64,
    /// Repeats on top.
    pub slack: f64,
    /// Span of time over which they are counted.
    pub window: Duration,
}

impl Terms {
    /// Repeats that one first send earns.
    pub(super) fn earned(&self) -> f64 {
        self.share * (1.0 - self.kept)
    }

    /// Repeats that may be kept after `firsts` first sends within the last window.
    pub(super) fn most_kept(&self, firsts: u32) -> f64 {
        f64::from(firsts) * self.share * self.kept + self.slack
    }
}
