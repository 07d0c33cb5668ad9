//! Idempotency keys.

use std::fmt;
use std::str;

/// Maximum length of a key, in characters.
pub const MAX_LEN: usize = 255;

/// An `Idempotency-Key` header: 1 to 255 visible ASCII characters.
///
/// Its scope is one organisation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(String);

/// The error returned when a string is not a valid idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Error;

impl Key {
    /// The key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl str::FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::try_from(text.to_owned())
    }
}

impl TryFrom<String> for Key {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let fits = (1..=MAX_LEN).contains(&text.len());
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if fits && visible {
            Ok(Self(text))
        } else {
            Err(Error)
        }
    }
}

impl From<Key> for String {
    fn from(key: Key) -> Self {
        key.0
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "not an idempotency key: want 1 to {MAX_LEN} visible ASCII characters"
        )
    }
}

impl std::error::Error for Error {}
