//! How the wait of a request ends.

use crate::startup::Reason;

/// How the wait of a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The configuration arrived.
    Released,
    /// The request is refused.
    Refused(Reason),
    /// The caller disconnected.
    Left,
}

impl Outcome {
    /// Name of the outcome for the counter of requests; `None` if it is not counted.
    #[must_use]
    pub const fn result(self) -> Option<&'static str> {
        match self {
            Self::Released => Some("released"),
            Self::Refused(Reason::Expired) => Some("expired"),
            Self::Refused(_) => Some("refused"),
            Self::Left => None,
        }
    }
}
