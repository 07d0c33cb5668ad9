//! Versions of the store's rows and tables.

use std::fmt;
use std::num::ParseIntError;
use std::str;

use crate::directory::Era;

/// Separates the era from the counter in the text form of a [`Version`].
const SEPARATOR: char = '.';

/// Value of the store's transaction counter, and the era in which the store assigned it.
///
/// Every version of an era comes after all versions of the eras before it: the counter alone goes
/// back when the store comes back from a copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Version {
    era: Era,
    counter: u64,
}

impl Version {
    /// A version of a store that does not state its era.
    #[must_use]
    pub const fn new(counter: u64) -> Self {
        Self {
            era: Era::new(0),
            counter,
        }
    }

    /// The version with the same counter in `era`.
    #[must_use]
    pub const fn in_era(self, era: Era) -> Self {
        Self {
            era,
            counter: self.counter,
        }
    }

    /// The era.
    #[must_use]
    pub const fn era(self) -> Era {
        self.era
    }

    /// Value of the store's transaction counter.
    #[must_use]
    pub const fn counter(self) -> u64 {
        self.counter
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{SEPARATOR}{}", self.era, self.counter)
    }
}

impl str::FromStr for Version {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        let (era, counter) = text.split_once(SEPARATOR).unwrap_or(("0", text));
        Ok(Self {
            era: era.parse()?,
            counter: counter.parse()?,
        })
    }
}
