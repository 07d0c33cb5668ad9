//! Propagation status of a revision.

use crate::id;

/// Propagation status of a revision, as known to one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// The revision.
    pub revision: id::Revision,
    /// Whether a majority of the roster holds it, which bounds the time until it is
    /// in force.
    pub held: bool,
    /// Whether it is in force everywhere: each VM either holds it or a later one, or
    /// takes no new work.
    pub in_force: bool,
    /// VMs known to hold it or a later one.
    pub in_force_on: Vec<id::Vm>,
    /// VMs of the roster not known to hold it.
    pub not_yet: Vec<id::Vm>,
}
