//! Settings of orders.

use std::time::Duration;

/// Timing of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Maximum time from the first byte of an order to its effect; the sender then closes
    /// the connection.
    pub timeout: Duration,
    /// Interval between reads while the state does not match.
    pub retry_delay: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(2),
            retry_delay: Duration::from_millis(200),
        }
    }
}
