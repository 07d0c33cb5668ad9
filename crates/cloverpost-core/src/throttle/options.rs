//! Tolerance of upstreams above the rate that they state.

use std::time::Duration;

/// Requests that an upstream tolerates in any window, relative to the rate that it states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Multiplier of the rate.
    pub overage: f64,
    /// Additional requests per window.
    pub slack: f64,
    /// Window in which requests are counted.
    pub window: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            overage: 1.5,
            slack: 5.0,
            window: Duration::from_secs(4),
        }
    }
}
