//! Members of the roster.

use crate::id;

/// One run of the process on a VM. A restarted VM is a different member, because it
/// has lost its state and cannot confirm what the earlier run held.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// The VM.
    pub vm: id::Vm,
    /// The run of its process.
    pub run: id::Run,
    /// Availability zone of the VM.
    pub zone: id::AvailabilityZone,
}
