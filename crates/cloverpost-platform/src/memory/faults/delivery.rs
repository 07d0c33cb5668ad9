//! Simulated delivery of writes.

use std::time::Duration;

/// Simulated delivery of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The write takes effect, and the caller receives the response.
    Delivered,
    /// The service rejects the write without effect.
    Rejected,
    /// The request is lost. The effect is unknown to the caller.
    RequestLost,
    /// The call fails with unknown effect, and the write takes effect after this delay.
    RequestDelayed(Duration),
    /// The write takes effect, and the response is lost.
    ResponseLost,
}
