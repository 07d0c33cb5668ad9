//! Quality of answers.

use std::fmt;
use std::str;

/// The share 1.0, in thousandths.
const MAX_THOUSANDTHS: u16 = 1_000;

/// Share of answers that pass a rating, stored in thousandths.
///
/// Serialised as a number from `0.0` to `1.0`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Quality(u16);

/// The error for a value that is not a number from 0.0 to 1.0.
#[derive(Clone, Debug, PartialEq)]
pub struct Error {
    text: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "invalid quality `{}`: expected a number from 0.0 to 1.0",
            self.text
        )
    }
}

impl std::error::Error for Error {}

impl Quality {
    /// A quality of `thousandths`, clamped to 1000.
    #[must_use]
    pub const fn from_thousandths(thousandths: u16) -> Self {
        Self(if thousandths > MAX_THOUSANDTHS {
            MAX_THOUSANDTHS
        } else {
            thousandths
        })
    }

    /// The share as a number from 0.0 to 1.0.
    #[must_use]
    pub fn share(self) -> f64 {
        f64::from(self.0) / f64::from(MAX_THOUSANDTHS)
    }
}

impl TryFrom<f64> for Quality {
    type Error = Error;

    fn try_from(share: f64) -> Result<Self, Self::Error> {
        if !(0.0..=1.0).contains(&share) {
            let text = share.to_string();
            return Err(Error { text });
        }
        let thousandths = (share * f64::from(MAX_THOUSANDTHS)).round();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // 0 to 1000
        Ok(Self(thousandths as u16))
    }
}

impl From<Quality> for f64 {
    fn from(quality: Quality) -> Self {
        quality.share()
    }
}

impl fmt::Display for Quality {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.share())
    }
}

impl str::FromStr for Quality {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let share: f64 = text.parse().map_err(|_| Error {
            text: text.to_owned(),
        })?;
        Self::try_from(share)
    }
}
