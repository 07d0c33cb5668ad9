//! Passes membership changes on to the subsystems that depend on them.

use std::sync::Arc;

use cloverpost_core::membership::{Event, Member, View};
use cloverpost_wire::Message;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::{broadcast, watch};

use crate::control::{Router, spread};
use crate::front;
use crate::peer;

/// Subscribes to membership changes.
pub struct Subscriber {
    /// Shared state of the VM.
    pub front: front::State,
    /// Links to peers.
    pub links: peer::Links,
    /// Sends messages to peers; its targets are updated here.
    pub router: Router,
    /// Handle of the catalogue propagation task.
    pub spread: spread::Handle,
}

impl Subscriber {
    /// Runs until the membership actor stops.
    pub async fn run(
        self,
        mut view: watch::Receiver<Arc<View>>,
        mut events: broadcast::Receiver<Event>,
    ) {
        loop {
            let current = view.borrow_and_update().clone();
            self.publish(&current).await;
            tokio::select! {
                changed = view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                event = events.recv() => match event {
                    Ok(event) => self.handle(event).await,
                    // Events were lost because the channel was full; resynchronise
                    // from the view.
                    Err(RecvError::Lagged(_)) => self.resync(&current).await,
                    Err(RecvError::Closed) => return,
                },
            }
        }
    }

    /// Publishes the set of reachable peers.
    async fn publish(&self, view: &View) {
        self.router
            .set_targets(view.peers.iter().map(peer::Target::from));
        let names = view.alive().map(|member| member.vm.clone()).collect();
        let count = i64::try_from(view.len()).unwrap_or(i64::MAX);
        self.front.metrics.members.set(count);
        // Fails only during shutdown.
        let _ = self.spread.set_peers(names).await;
    }

    async fn handle(&self, event: Event) {
        match event {
            Event::Joined(member) => self.handle_join(member).await,
            Event::Died(member) | Event::Left(member) => {
                self.set_dead(&member, true);
                self.front.billing.peer_died(member.vm).await;
            }
            Event::Leaving(member) => self.front.billing.peer_leaving(member.vm).await,
            Event::Suspected(_) | Event::Recovered(_) => {}
        }
    }

    async fn resync(&self, view: &View) {
        for member in &view.peers {
            self.handle_join(member.clone()).await;
        }
    }

    async fn handle_join(&self, member: Member) {
        self.set_dead(&member, false);
        let facts = self.front.quarantine.facts(self.front.clock.now());
        if !facts.is_empty() {
            // If the message is lost, the facts are sent again after the next crash.
            let target = peer::Target::from(&member);
            let _ = self.links.send(&target, &Message::Poison(facts));
        }
        self.front.billing.peer_joined(member.vm, member.zone).await;
    }

    fn set_dead(&self, member: &Member, dead: bool) {
        self.front.snapshot.update(|snapshot| {
            if dead {
                snapshot.dead.insert(member.vm.clone());
            } else {
                snapshot.dead.remove(&member.vm);
            }
        });
    }
}
