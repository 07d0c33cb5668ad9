//! A rate of requests.

use std::fmt;
use std::str;

/// A rate of requests, per second; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Rate(f64);

/// Error of parsing a [`Rate`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseRate {
    text: String,
}

impl fmt::Display for ParseRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is not a rate: expected a number of requests per second, 0 or more",
            self.text
        )
    }
}

impl std::error::Error for ParseRate {}

impl Rate {
    /// Requests per second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = ParseRate;

    fn try_from(per_second: f64) -> Result<Self, ParseRate> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then_some(Self(per_second)).ok_or(ParseRate {
            text: per_second.to_string(),
        })
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> Self {
        rate.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl str::FromStr for Rate {
    type Err = ParseRate;

    fn from_str(text: &str) -> Result<Self, ParseRate> {
        let error = || ParseRate {
            text: text.to_owned(),
        };
        let per_second: f64 = text.parse().map_err(|_| error())?;
        Self::try_from(per_second).map_err(|_| error())
    }
}
