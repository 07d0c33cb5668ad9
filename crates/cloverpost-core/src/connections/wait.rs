//! Time for which a request waits for a connection.

use std::time::Duration;

/// Longest wait for a connection to one upstream while another may take the request.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Part of the time left up to which a request waits while another upstream may take it.
const WAIT_DIVISOR: u32 = 4;
/// Part of the time left up to which a request waits that no other upstream takes.
const LAST_RESORT_DIVISOR: u32 = 2;

/// Time for which a request waits for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// While another upstream may take the request.
    pub with_others: Duration,
    /// If no other upstream does.
    pub alone: Duration,
}

impl Wait {
    /// The waits of a request with `left` time.
    #[must_use]
    pub fn new(left: Duration) -> Self {
        Self {
            with_others: (left / WAIT_DIVISOR).min(MAX_WAIT),
            alone: left / LAST_RESORT_DIVISOR,
        }
    }
}
