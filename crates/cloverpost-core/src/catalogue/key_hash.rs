//! Hashes of API keys.

use std::fmt;
use std::str;

use sha2::Digest;

/// Prefix that identifies the hash function.
const PREFIX: &str = "sha256:";

/// SHA-256 of an API key, written as `sha256:` and 64 hexadecimal digits.
///
/// API keys are long random strings, so an unsalted hash resists dictionary attacks.
/// Looking keys up by hash also avoids timing leaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

/// The error for text that is not a key hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "invalid key hash: expected `{PREFIX}` followed by 64 hexadecimal digits"
        )
    }
}

impl std::error::Error for Error {}

impl KeyHash {
    /// Hashes a plain-text key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(sha2::Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}{}", hex::encode(self.0))
    }
}

impl str::FromStr for KeyHash {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.strip_prefix(PREFIX).ok_or(Error)?;
        let mut bytes = [0; 32];
        hex::decode_to_slice(digits, &mut bytes).map_err(|_| Error)?;
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for KeyHash {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        hash.to_string()
    }
}
