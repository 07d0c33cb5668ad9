//! Health events observed while serving requests.

use std::time::Duration;

/// An observation about an upstream, made while serving a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The response began; holds the time since the request was sent.
    Began(Duration),
    /// A stream event was received.
    Heard,
    /// The response completed successfully.
    Succeeded,
    /// The upstream returned an error or a malformed response.
    Failed,
    /// The upstream has no free slot for the request.
    Full,
    /// The connection broke.
    Broke,
    /// The upstream refused the connection.
    Refused,
    /// The upstream sent nothing within the silence limit.
    Silent,
}
