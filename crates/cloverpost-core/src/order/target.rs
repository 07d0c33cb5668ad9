//! Versions that an engine can run.

use std::fmt;
use std::str;

use crate::id;

/// Separator between model and version; identifiers cannot contain it.
const SEPARATOR: char = '@';

/// A version of a model, written `model@version`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Target {
    /// The model.
    pub model: id::Model,
    /// The version.
    pub version: id::Version,
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{SEPARATOR}{}", self.model, self.version)
    }
}

impl str::FromStr for Target {
    type Err = id::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (model, version) = text.split_once(SEPARATOR).unwrap_or((text, ""));
        Ok(Self {
            model: model.parse()?,
            version: version.parse()?,
        })
    }
}
