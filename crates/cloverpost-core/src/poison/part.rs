//! Parts of prompts.

use std::fmt;
use std::num::ParseIntError;
use std::str;

/// A part of a prompt, by the hash of its content that callers state.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Part(u64);

impl From<u64> for Part {
    fn from(hash: u64) -> Self {
        Self(hash)
    }
}

impl Part {
    /// Hash of the content.
    #[must_use]
    pub const fn hash(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl fmt::Debug for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl str::FromStr for Part {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
