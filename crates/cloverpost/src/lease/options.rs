//! Timeouts and intervals of a lease.

use std::time::Duration;

use cloverpost_core::lease;

/// Timeouts and intervals of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Duration and safety margin of the lease.
    pub lease: lease::Options,
    /// Timeout of a call to the table.
    pub call_timeout: Duration,
    /// Delay after a failed call before the row is read again.
    pub retry_delay: Duration,
    /// Maximum interval of reads while another process holds the lease.
    pub poll_interval: Duration,
    /// Interval of renewals.
    pub renew_interval: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lease: lease::Options::default(),
            call_timeout: Duration::from_secs(1),
            retry_delay: Duration::from_millis(100),
            poll_interval: Duration::from_secs(1),
            renew_interval: Duration::from_secs(3),
        }
    }
}
