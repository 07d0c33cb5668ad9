//! Pre-shared keys that authenticate the VMs of a fleet to each other.

use std::fmt;
use std::str;

/// Minimum key length, in bytes.
pub const MIN_LEN: usize = 16;

/// A shared secret; its `Debug` output is redacted.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(Box<[u8]>);

impl Key {
    pub(super) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl str::FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text.len() < MIN_LEN {
            return Err(Error);
        }
        Ok(Self(text.as_bytes().into()))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The key is shorter than [`MIN_LEN`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "peer key must have at least {MIN_LEN} characters")
    }
}

impl std::error::Error for Error {}

/// The current key and, during key rotation, a second accepted one.
#[derive(Clone, Debug)]
pub struct Keys {
    /// Preferred key.
    pub current: Key,
    /// Additional key accepted during rotation.
    pub additional: Option<Key>,
}

impl Keys {
    /// All accepted keys, the preferred one first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Key> {
        std::iter::once(&self.current).chain(&self.additional)
    }
}
