//! Sends billing messages to peers.

use cloverpost_core::{billing, id};

/// Sends billing messages to peers.
pub trait Peers: Send + 'static {
    /// Sends `message` to the VM `to` without waiting. Messages may be lost, delayed,
    /// duplicated and reordered.
    fn send(&self, to: &id::Vm, message: billing::Message);
}
