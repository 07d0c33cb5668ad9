//! Destination of a link.

use std::fmt;
use std::net::SocketAddr;

use cloverpost_core::{id, membership};

/// A VM and its address.
///
/// Connecting fails if the peer at the address has a different name: the VM has
/// been replaced, and messages for the old VM must not reach the new one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// Expected name of the peer.
    pub vm: id::Vm,
    /// Its address.
    pub address: SocketAddr,
}

impl From<&membership::Member> for Target {
    fn from(member: &membership::Member) -> Self {
        Self {
            vm: member.vm.clone(),
            address: member.address,
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}", self.vm, self.address)
    }
}
