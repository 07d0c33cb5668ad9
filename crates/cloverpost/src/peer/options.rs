//! Configuration of a VM's peer links.

use std::net::SocketAddr;
use std::time::Duration;

use cloverpost_core::id;

use crate::peer::{Faults, Keys};

/// Configuration of a VM's peer links.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this VM.
    pub vm: id::Vm,
    /// Availability zone of this VM.
    pub zone: id::AvailabilityZone,
    /// Address announced to peers; defaults to the bound address.
    pub advertised: Option<SocketAddr>,
    /// Keys shared with the peers.
    pub keys: Keys,
    /// Maximum number of outbound links; the least recently used idle one is evicted.
    pub max_links: usize,
    /// Maximum number of accepted connections.
    pub max_accepted: usize,
    /// Capacity of the inbox, in messages.
    pub inbox_capacity: usize,
    /// Capacity of the gossip queue of a peer, in messages.
    pub gossip_capacity: usize,
    /// Maximum number of concurrent calls to a peer.
    pub max_calls: usize,
    /// Timeout of connecting and the handshake.
    pub handshake_timeout: Duration,
    /// Timeout of a message on an open link.
    pub message_timeout: Duration,
    /// Time without messages after which a link is closed.
    pub idle_timeout: Duration,
    /// Faults injected by tests.
    pub faults: Faults,
}

impl Options {
    /// Default configuration of a VM.
    #[must_use]
    pub fn new(vm: id::Vm, zone: id::AvailabilityZone, keys: Keys) -> Self {
        Self {
            vm,
            zone,
            advertised: None,
            keys,
            max_links: 64,
            max_accepted: 512,
            inbox_capacity: 1024,
            gossip_capacity: 64,
            max_calls: 64,
            handshake_timeout: Duration::from_secs(1),
            message_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(15),
            faults: Faults::default(),
        }
    }
}
