//! Retry share as a percentage of first attempts.

use std::fmt;
use std::str;

/// Maximum share, in percent.
const MAX_PERCENT: u8 = 100;

/// Retries per 100 first attempts, 0 to 100; formatted as `10%`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Share(u8);

/// Error returned when parsing an invalid [`Share`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseShare {
    text: String,
}

impl fmt::Display for ParseShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is not a share: want 0% to {MAX_PERCENT}%",
            self.text
        )
    }
}

impl std::error::Error for ParseShare {}

impl Share {
    /// Creates a share of `percent` retries per 100 first attempts, capped at 100.
    #[must_use]
    pub const fn from_percent(percent: u8) -> Self {
        Self(if percent > MAX_PERCENT {
            MAX_PERCENT
        } else {
            percent
        })
    }

    /// Retries per 100 first attempts.
    #[must_use]
    pub const fn percent(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl str::FromStr for Share {
    type Err = ParseShare;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let percent = text.strip_suffix('%').and_then(|text| text.parse().ok());
        match percent {
            Some(percent) if percent <= MAX_PERCENT => Ok(Self(percent)),
            _ => Err(ParseShare {
                text: text.to_owned(),
            }),
        }
    }
}

impl TryFrom<String> for Share {
    type Error = ParseShare;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Share> for String {
    fn from(share: Share) -> Self {
        share.to_string()
    }
}
