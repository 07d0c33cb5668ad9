//! Hashes of catalogue texts.

use std::fmt;

use sha2::Digest;

/// SHA-256 of a catalogue text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Hash([u8; 32]);

impl Hash {
    /// Hashes `text`.
    #[must_use]
    pub fn of(text: &str) -> Self {
        Self(sha2::Sha256::digest(text).into())
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}
