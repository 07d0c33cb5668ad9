//! What a request shows of an upstream.

use std::time::Duration;

/// What a request shows of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An answer began, so long after the request was sent.
    Began(Duration),
    /// An event of a stream came.
    Heard,
    /// The answer is whole and no failure.
    Succeeded,
    /// The upstream answered that it failed, or spoilt the answer.
    Failed,
    /// It has no place for the request.
    Full,
    /// The connection broke.
    Broke,
    /// It takes no connection.
    Refused,
    /// Nothing came from it for too long.
    Silent,
}
