//! Entries of the VM list.

use std::net::SocketAddr;

use cloverpost_core::id;

use crate::vms::{Role, State};

/// A VM as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Vm {
    /// Unique name, not reused by a replacement VM.
    pub name: id::Vm,
    /// Address of the VM's service.
    pub address: SocketAddr,
    /// Availability zone of the VM.
    pub zone: id::AvailabilityZone,
    /// Role of the VM.
    pub role: Role,
    /// Lifecycle state of the VM.
    pub state: State,
}
