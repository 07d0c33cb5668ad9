//! Operators and their keys.

use std::fmt;
use std::str;

use cloverpost_core::catalogue;

/// An operator and the hash of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Name recorded in the audit trail.
    pub name: String,
    /// Hash of the key.
    pub key: catalogue::KeyHash,
}

/// The text is not of the form `NAME=sha256:DIGITS`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected NAME=sha256:DIGITS")
    }
}

impl std::error::Error for Error {}

impl str::FromStr for Operator {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, key) = text.split_once('=').ok_or(Error)?;
        if name.is_empty() {
            return Err(Error);
        }
        Ok(Self {
            name: name.to_owned(),
            key: key.parse().map_err(|_| Error)?,
        })
    }
}
