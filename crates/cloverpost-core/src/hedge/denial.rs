//! Reasons against a further attempt.

use std::fmt;

/// Why a request is not sent again while an attempt is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Denial {
    /// The request may have crashed upstreams.
    Quarantined,
    /// The VM stops before a further attempt would end.
    Stopping,
    /// The body of the request has been released.
    BodyReleased,
    /// The request has used its attempts, or its time.
    Exhausted,
    /// No other upstream takes the request.
    NoUpstream,
    /// The retry budget is used up.
    Budget,
}

impl Denial {
    /// Name of the reason, for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Quarantined => "quarantined",
            Self::Stopping => "stopping",
            Self::BodyReleased => "body_released",
            Self::Exhausted => "exhausted",
            Self::NoUpstream => "no_upstream",
            Self::Budget => "budget",
        }
    }
}

impl fmt::Display for Denial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
