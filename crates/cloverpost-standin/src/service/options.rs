//! Service options.

use std::time::Duration;

/// Options of a service.
#[derive(Clone, Debug)]
pub struct Options {
    /// Duration of each call.
    pub latency: Duration,
    /// Capacity from which `/availability` subtracts the bookings. It is not enforced.
    pub capacity: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            latency: Duration::from_millis(1),
            capacity: 1_000_000,
        }
    }
}
