//! Reasons for not granting a claim.

use std::fmt;

use crate::refusal;

/// Why a claim was not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Error {
    /// A request with the key is in progress.
    InProgress,
    /// The key was used for a different request.
    KeyReused,
    /// A request with the key may have run, and its answer is not known.
    OutcomeUnknown,
    /// The table did not answer, or its row could not be decoded.
    Unavailable {
        /// Whether a request with the key ran, as far as is known.
        ran: refusal::Ran,
    },
}

impl Error {
    /// Converts the error to the refusal sent to the caller.
    #[must_use]
    pub fn refusal(self) -> refusal::Refusal {
        let message = self.to_string();
        match self {
            Self::InProgress => refusal::Refusal::uncertain(refusal::Code::InProgress, message),
            Self::KeyReused => refusal::Refusal::not_run(refusal::Code::KeyReused, message),
            Self::OutcomeUnknown => {
                refusal::Refusal::uncertain(refusal::Code::OutcomeUnknown, message)
            }
            Self::Unavailable { ran } => refusal::Refusal {
                ran,
                ..refusal::Refusal::not_run(refusal::Code::StoreUnavailable, message)
            },
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InProgress => "a request with this idempotency key is in progress",
            Self::KeyReused => "the idempotency key was used for another request",
            Self::OutcomeUnknown => {
                "a request with this idempotency key may have run; its outcome is not known"
            }
            Self::Unavailable { .. } => {
                "the idempotency key could not be claimed; this attempt was not run"
            }
        })
    }
}

impl std::error::Error for Error {}
