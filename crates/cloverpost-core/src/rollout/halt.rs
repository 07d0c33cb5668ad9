//! Halted versions.

use crate::catalogue;
use crate::id;

/// A halted version. Halts are permanent: a fixed version gets a new version number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Halt {
    /// Entry that was halted.
    pub entry: id::Entry,
    /// Its version at the time.
    pub version: id::Version,
}

impl From<&catalogue::Entry> for Halt {
    fn from(entry: &catalogue::Entry) -> Self {
        Self {
            entry: entry.name.clone(),
            version: entry.version.clone(),
        }
    }
}
