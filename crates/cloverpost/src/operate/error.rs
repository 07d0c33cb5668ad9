//! Errors of the operator API client.

use std::fmt;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The VM cannot be reached.
    Unreachable(String),
    /// The VM responded with an error status.
    Refused {
        /// HTTP status.
        status: u16,
        /// Error message from the VM.
        message: String,
    },
    /// A value is not valid in the named request header.
    InvalidHeader(http::HeaderName),
    /// The response is malformed.
    MalformedResponse(&'static str),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "cannot reach the VM: {reason}"),
            Self::Refused { status, message } => write!(f, "refused ({status}): {message}"),
            Self::InvalidHeader(name) => {
                write!(f, "value for header {name} contains invalid characters")
            }
            Self::MalformedResponse(reason) => write!(f, "malformed response: {reason}"),
        }
    }
}

impl std::error::Error for Error {}
