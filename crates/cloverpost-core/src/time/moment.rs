//! Points on a VM's monotonic clock.

use std::ops;
use std::time::Duration;

/// A point in time on a monotonic clock with an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(Duration);

impl Moment {
    /// The moment `since_start` after the clock's start.
    #[must_use]
    pub const fn new(since_start: Duration) -> Self {
        Self(since_start)
    }

    /// The moment `millis` milliseconds after the clock's start.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Time since the clock's start.
    #[must_use]
    pub const fn since_start(self) -> Duration {
        self.0
    }

    /// Time from `earlier` to this moment; zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl ops::Add<Duration> for Moment {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }
}
