//! Refusals: what a caller is told when no whole answer comes.
//!
//! The promise behind [`Ran`] is that `no` is never said of a request that an
//! upstream may have begun.

mod code;
mod ran;

pub use code::Code;
pub use ran::Ran;

use std::time::Duration;

/// A refusal, as it is sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What went wrong.
    pub code: Code,
    /// Whether an upstream ran the request.
    pub ran: Ran,
    /// One sentence for the caller's developers.
    pub message: String,
    /// When a retry may help.
    pub retry_after: Option<Duration>,
    /// Time until the shortage behind it ends, where that is known.
    pub opens_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that no upstream has seen.
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

    /// A refusal of a request that an upstream has begun to run.
    #[must_use]
    pub fn ran(code: Code, message: impl Into<String>) -> Self {
        Self {
            ran: Ran::Yes,
            ..Self::not_run(code, message)
        }
    }
}
