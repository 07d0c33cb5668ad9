//! Errors of a site.

use std::fmt;
use std::io;

use cloverpost::operate;

/// An error of the site itself, as opposed to a broken promise.
#[derive(Debug)]
pub enum Error {
    /// A stand-in or a runtime failed to start.
    Io(io::Error),
    /// A VM failed to start.
    Start(String),
    /// The VMs were not ready before the timeout.
    NotReady,
    /// A call to the operator interface failed.
    Operate(operate::Error),
    /// A call to the platform stand-in failed.
    Platform(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "failed to start a stand-in or runtime: {error}"),
            Self::Start(reason) => write!(f, "failed to start a VM: {reason}"),
            Self::NotReady => f.write_str("VMs were not ready before the timeout"),
            Self::Operate(error) => error.fmt(f),
            Self::Platform(reason) => write!(f, "call to the platform stand-in failed: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<operate::Error> for Error {
    fn from(error: operate::Error) -> Self {
        Self::Operate(error)
    }
}
