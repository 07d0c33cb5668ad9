//! Back-off between attempts while the table fails.

use std::time::Duration;

/// Delay before the first retry.
const INITIAL_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Exponential back-off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    delay: Duration,
}

impl Backoff {
    /// Doubles the delay and returns it.
    pub fn next_delay(&mut self) -> Duration {
        self.delay = (self.delay * 2).clamp(INITIAL_DELAY, MAX_DELAY);
        self.delay
    }
}
