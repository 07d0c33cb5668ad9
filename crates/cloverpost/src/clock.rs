//! Monotonic and wall-clock time.
//!
//! The monotonic clock follows `tokio`'s, so tests can pause it.

use cloverpost_core::time;
use tokio::time::Instant;

/// A monotonic clock that counts from its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The time since the clock was started.
    #[must_use]
    pub fn now(&self) -> time::Moment {
        time::Moment::new(self.start.elapsed())
    }
}

/// The current wall-clock time, for records and retention.
#[must_use]
pub fn stamp() -> time::Timestamp {
    let since_epoch = std::time::SystemTime::UNIX_EPOCH
        .elapsed()
        .unwrap_or_default();
    time::Timestamp::from_millis(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
