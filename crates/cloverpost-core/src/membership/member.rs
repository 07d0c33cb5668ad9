//! Membership record of a VM.

use std::net::SocketAddr;

use crate::id;
use crate::membership::{Incarnation, State};

/// Membership record of a VM, as exchanged between VMs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Its name; a replacement VM has a different one.
    pub vm: id::Vm,
    /// Its availability zone.
    pub zone: id::AvailabilityZone,
    /// Address on which it accepts connections from peers.
    pub address: SocketAddr,
    /// Incarnation that the record belongs to.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: State,
}

impl Member {
    /// Whether this record supersedes `other` of the same VM.
    ///
    /// Records are totally ordered by incarnation and state, so they merge to the same result in
    /// any order and number of deliveries.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
