//! Why a request does not wait.

use std::fmt;

/// Why a request does not wait, or waits no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It has no time to wait.
    NoTime,
    /// It waited as long as its timeout allows.
    Expired,
    /// The waiting requests take all memory that they may take.
    Full,
    /// The VM stops.
    Stopping,
}

impl Reason {
    /// Name of the reason, for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoTime => "no_time",
            Self::Expired => "expired",
            Self::Full => "full",
            Self::Stopping => "stopping",
        }
    }

    /// Description for the caller's developers.
    #[must_use]
    pub const fn message(self) -> &'static str {
        match self {
            Self::NoTime => "no configuration is known yet, and the request has no time to wait",
            Self::Expired => "no configuration was known within the time that the request can wait",
            Self::Full => "no configuration is known yet, and too many requests wait for it",
            Self::Stopping => "no configuration is known, and the router is stopping",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
