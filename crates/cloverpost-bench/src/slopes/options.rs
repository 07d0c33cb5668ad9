//! Options of the slopes benchmark.

use std::time::Duration;

/// Options of the slopes benchmark.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// Whether to use shorter and fewer CPU time samples. Sizes and counts are unaffected.
    pub quick: bool,
}

impl Options {
    /// Returns the minimum CPU time of one sample.
    #[must_use]
    pub const fn sample_duration(self) -> Duration {
        Duration::from_millis(if self.quick { 4 } else { 40 })
    }

    /// Returns the number of samples. The minimum is reported, because interference only adds
    /// time.
    #[must_use]
    pub const fn sample_count(self) -> usize {
        if self.quick { 5 } else { 11 }
    }
}
