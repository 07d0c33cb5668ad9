//! Secrets, redacted in logs.

use std::fmt;
use std::str;

/// Minimum length of a secret, in bytes.
const MIN_LEN: usize = 16;

/// A shared secret, redacted in `Debug` output.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// The secret in plain text.
    #[must_use]
    pub fn expose(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The secret is too short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "secret must have at least {MIN_LEN} characters")
    }
}

impl std::error::Error for Error {}

impl str::FromStr for Secret {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() < MIN_LEN {
            return Err(Error);
        }
        Ok(Self(text.to_owned()))
    }
}
