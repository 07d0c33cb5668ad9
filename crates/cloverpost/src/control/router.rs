//! Sends messages from the subsystems of a VM to its peers.

use std::collections::HashMap;
use std::sync::{Arc, OnceLock};

use arc_swap::ArcSwap;
use cloverpost_core::{billing, id, spread};
use cloverpost_wire::Message;
use futures_util::future;

use crate::control;
use crate::peer;

/// Sends messages to VMs by name; clones share the same state.
///
/// The router is created before the links, because the subsystems that send through it
/// start first. Messages sent before [`Self::connect`], or to a VM whose address is
/// unknown, are dropped; each subsystem recovers from lost messages itself.
#[derive(Clone, Default)]
pub struct Router(Arc<Shared>);

#[derive(Default)]
struct Shared {
    links: OnceLock<peer::Links>,
    targets: ArcSwap<HashMap<id::Vm, peer::Target>>,
}

impl Router {
    /// Sets the links to send over.
    pub fn connect(&self, links: peer::Links) {
        // Later calls have no effect; a VM binds its links once.
        let _ = self.0.links.set(links);
    }

    /// Replaces the set of reachable VMs.
    pub fn set_targets(&self, targets: impl IntoIterator<Item = peer::Target>) {
        let targets = targets
            .into_iter()
            .map(|target| (target.vm.clone(), target));
        self.0.targets.store(Arc::new(targets.collect()));
    }

    /// Sends a message to a VM, without delivery guarantee.
    pub fn send(&self, to: &id::Vm, message: &Message) {
        let targets = self.0.targets.load();
        let (Some(links), Some(target)) = (self.0.links.get(), targets.get(to)) else {
            return;
        };
        if let Err(error) = links.send(target, message) {
            log::debug!("failed to send message to {to}: {error}");
        }
    }

    /// Sends a message to every peer, without delivery guarantee.
    pub fn send_all(&self, message: &Message) {
        for to in self.0.targets.load().keys() {
            self.send(to, message);
        }
    }

    /// Delivers a message to every peer, and waits until each delivery has succeeded or
    /// failed.
    pub async fn deliver_all(&self, message: &Message) {
        let targets = self.0.targets.load_full();
        let Some(links) = self.0.links.get() else {
            return;
        };
        let deliveries = targets
            .values()
            .map(|target| links.deliver(target, message));
        for result in future::join_all(deliveries).await {
            if let Err(error) = result {
                log::debug!("failed to deliver message to a peer: {error}");
            }
        }
    }
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Router(..)")
    }
}

impl crate::billing::Peers for Router {
    fn send(&self, to: &id::Vm, message: billing::Message) {
        Self::send(self, to, &Message::Billing(message));
    }
}

impl control::spread::Peers for Router {
    fn send(&self, to: &id::Vm, message: spread::Message) {
        Self::send(self, to, &Message::Spread(message));
    }
}
