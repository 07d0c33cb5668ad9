//! Entry VMs listed in the store.

use std::net::SocketAddr;

use crate::directory::Size;
use crate::id;

/// An entry VM, as listed in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Its name.
    pub vm: id::Vm,
    /// Its availability zone.
    pub zone: id::AvailabilityZone,
    /// Address on which it accepts connections from peers.
    pub address: SocketAddr,
    /// Its capacity.
    pub size: Size,
}
