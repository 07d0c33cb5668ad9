//! Samples of upstream behaviour.

use std::time::Duration;

/// Outcome of a finished request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// The upstream answered.
    Answered {
        /// Time from the last byte of the request to the first byte of the answer.
        first_byte: Duration,
        /// Requests of this VM in flight on the upstream at the start, including this
        /// one.
        in_flight: u32,
    },
    /// The upstream rejected the request for overload, or the request timed out.
    Overloaded,
}
