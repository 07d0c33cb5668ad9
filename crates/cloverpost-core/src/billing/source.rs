//! Sources of records.

use std::fmt;

use crate::billing::Run;
use crate::id;

/// One run of a VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Source {
    /// The VM.
    pub vm: id::Vm,
    /// The run of its process.
    pub run: Run,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.vm, self.run)
    }
}
