//! Errors of calls to the platform.

use std::fmt;

/// Whether a failed operation may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// It had no effect: the service rejected it, or the request was never sent.
    None,
    /// It may have taken effect: the response was lost. Read back before retrying.
    Unknown,
}

/// A failed call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Whether the operation may have taken effect.
    pub effect: Effect,
    /// Cause of the failure, for logs.
    pub reason: String,
}

impl Fault {
    /// Creates a fault of an operation that had no effect.
    #[must_use]
    pub fn without_effect(reason: impl Into<String>) -> Self {
        Self {
            effect: Effect::None,
            reason: reason.into(),
        }
    }

    /// Creates a fault of an operation that may have taken effect.
    #[must_use]
    pub fn with_unknown_effect(reason: impl Into<String>) -> Self {
        Self {
            effect: Effect::Unknown,
            reason: reason.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let effect = match self.effect {
            Effect::None => "no effect",
            Effect::Unknown => "effect unknown",
        };
        write!(f, "{} ({effect})", self.reason)
    }
}

impl std::error::Error for Fault {}
