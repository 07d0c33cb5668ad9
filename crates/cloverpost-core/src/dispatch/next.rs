//! Decision after a failed attempt.

use crate::refusal;

/// Decision after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Retry, preferably on another upstream.
    Retry,
    /// Return a refusal to the caller.
    Refuse(refusal::Refusal),
}
