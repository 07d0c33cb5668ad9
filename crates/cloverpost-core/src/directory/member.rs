//! Entry VMs, as the store lists them.

use std::net::SocketAddr;

use crate::directory::Size;
use crate::id;

/// An entry VM that peers may ask.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Its name.
    pub vm: id::Vm,
    /// Availability zone that it stands in.
    pub zone: id::AvailabilityZone,
    /// Where it takes links of peers.
    pub address: SocketAddr,
    /// What it can bear.
    pub size: Size,
}
