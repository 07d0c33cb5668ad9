//! Source of rating counts.

use crate::id;

/// A process that receives ratings.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Source {
    /// VM that it runs on.
    pub vm: id::Vm,
    /// Process on the VM; a restarted one counts from zero.
    pub process: id::Process,
}
