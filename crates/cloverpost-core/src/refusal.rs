//! Refusals, the error responses sent to callers.
//!
//! [`Ran::No`] guarantees that no upstream has started the request.

mod code;
mod ran;

pub use code::Code;
pub use ran::Ran;

use std::time::Duration;

/// An error response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub code: Code,
    /// Whether an upstream ran the request.
    pub ran: Ran,
    /// Description for the caller's developers.
    pub message: String,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Time until capacity becomes available, if known.
    pub opens_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that no upstream has started.
    #[must_use]
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            ran: Ran::No,
            message: message.into(),
            retry_after: code.retry_after(),
            opens_after: None,
        }
    }

    /// A refusal of a request that an upstream may have run.
    #[must_use]
    pub fn uncertain(code: Code, message: impl Into<String>) -> Self {
        Self {
            ran: Ran::Unknown,
            ..Self::not_run(code, message)
        }
    }

    /// A refusal of a request that an upstream has started.
    #[must_use]
    pub fn ran(code: Code, message: impl Into<String>) -> Self {
        Self {
            ran: Ran::Yes,
            ..Self::not_run(code, message)
        }
    }
}
