//! Execution status of a refused request.

use std::fmt;
use std::str;

/// What the router can prove about a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// Nothing was sent to an upstream, or the upstream proved that it did not start.
    No,
    /// An upstream started the request.
    Yes,
    /// The request was sent, and it is not known whether an upstream started it.
    Unknown,
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        })
    }
}

impl str::FromStr for Ran {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "no" => Ok(Self::No),
            "yes" => Ok(Self::Yes),
            "unknown" => Ok(Self::Unknown),
            _ => Err(Error),
        }
    }
}

/// The error for text other than `no`, `yes` or `unknown`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected `no`, `yes` or `unknown`")
    }
}

impl std::error::Error for Error {}
