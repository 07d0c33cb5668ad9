//! Settings of a lease.

use std::time::Duration;

/// Settings of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Time from a write of the row to its expiry.
    pub duration: Duration,
    /// Time before expiry in which the holder no longer acts. It covers clock
    /// drift and the delay between the decision and the first byte sent.
    pub margin: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(10),
            margin: Duration::from_secs(1),
        }
    }
}
