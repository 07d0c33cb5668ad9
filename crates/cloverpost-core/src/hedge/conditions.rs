//! Conditions of a further attempt.

use crate::hedge::Denial;

/// What must hold at one moment for a further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(clippy::struct_excessive_bools)] // Independent conditions, of which any may fail.
pub struct Conditions {
    /// Whether the request is quarantined.
    pub is_quarantined: bool,
    /// Whether the VM stops before the attempt would end.
    pub is_stopping: bool,
    /// Whether the body of the request is held.
    pub has_body: bool,
    /// Whether the request's limits permit an attempt beside those in progress.
    pub has_attempt: bool,
    /// Whether the retry budget permits a retry.
    pub has_retry: bool,
}

impl Conditions {
    /// Whether an upstream may be selected for the attempt.
    pub const fn check(self) -> Result<(), Denial> {
        if self.is_quarantined {
            Err(Denial::Quarantined)
        } else if self.is_stopping {
            Err(Denial::Stopping)
        } else if !self.has_body {
            Err(Denial::BodyReleased)
        } else if !self.has_attempt {
            Err(Denial::Exhausted)
        } else if !self.has_retry {
            Err(Denial::Budget)
        } else {
            Ok(())
        }
    }
}
