//! Identity of the process that holds a claim.

use std::fmt;

use crate::id;

/// The process that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Claimant {
    /// VM that the process runs on.
    pub vm: id::Vm,
    /// Process of the VM.
    pub process: id::Process,
}

impl Claimant {
    /// Whether `self` is an earlier process of the same VM as `other`.
    #[must_use]
    pub fn precedes(&self, other: &Self) -> bool {
        self.vm == other.vm && self.process < other.process
    }
}

impl fmt::Display for Claimant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.vm, self.process)
    }
}
