//! Transport to peers.

use cloverpost_core::{id, spread};

/// Transport to peers.
pub trait Peers: Send + 'static {
    /// Sends `message` to the VM `to` without blocking. It may be lost, delayed,
    /// duplicated or reordered.
    fn send(&self, to: &id::Vm, message: spread::Message);
}
