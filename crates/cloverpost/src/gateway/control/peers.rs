//! What VMs tell and ask each other.

use std::time::Duration;

use cloverpost_core::directory::Member;
use cloverpost_core::{directory, exposure, id};
use cloverpost_wire::Message;
use ractor::ActorRef;

use crate::gateway::codec::Codec;
use crate::gateway::command::Command;
use crate::gateway::control::State;
use crate::gateway::rollouts;
use crate::gateway::store::Store;
use crate::peer;

/// Peers that are told of a change by each VM. With three of five, one that
/// hears nothing from the store is missed by all once in a hundred changes, and
/// it asks by itself a moment later.
const TOLD: usize = 3;
/// Least time between them while tables change; each may bring a question of every listener.
const TELL_LEAST: Duration = Duration::from_millis(120);
/// Time since the store's last answer within which a watcher counts as hearing from
/// it. Upstreams write about once a second, and each write is an answer.
const HEARS: Duration = Duration::from_millis(1800);

impl<C: Codec, S: Store> State<C, S> {
    pub(super) fn share_loads(&mut self) {
        let shared = self.parts.shared.clone();
        let members = &self.image.members;
        for (member, message) in self.loads.letters(&shared, members, &self.parts.own) {
            let target = peer::Target {
                vm: member.vm,
                address: member.address,
            };
            self.send(&target, &Message::Balance(message));
        }
    }

    /// Tells the VMs of the same availability zone that this one hears from the
    /// store.
    pub(super) fn tell_listeners(&mut self) {
        let own = &self.parts.own;
        let now = self.now();
        let hears = self.lost.is_empty() && now.since(self.heard) < HEARS;
        let is_watcher = self.image.members.is_watcher(&own.vm, &own.zone);
        if !hears || !is_watcher || now.since(self.told) < TELL_LEAST {
            return;
        }
        self.told = now;
        let fresh = Message::Directory(directory::Message::Fresh(self.image.changes()));
        let members = self.image.members.rows.values().map(|row| &row.value);
        for member in members.filter(|one| one.zone == own.zone && one.vm != own.vm) {
            if self.image.members.is_watcher(&member.vm, &member.zone) {
                continue;
            }
            let target = peer::Target {
                vm: member.vm.clone(),
                address: member.address,
            };
            self.send(&target, &fresh);
        }
    }

    pub(super) fn weigh(&self, from: id::Vm, message: exposure::Message) {
        let shared = &self.parts.shared;
        match message {
            exposure::Message::Evidence(digest) => shared.evidence().merge(from, digest),
            exposure::Message::Pinned {
                service,
                order,
                sessions,
            } => shared.pins().merge(&(service, order), &sessions),
        }
    }

    /// Sends what this VM knows of open roll-outs to those that judge them; they tell
    /// everybody which sessions stay.
    pub(super) fn share_evidence(&self) {
        let open = rollouts::under_way(&self.image);
        let shared = &self.parts.shared;
        shared.evidence().retain(&open);
        shared.pins().retain(|rollout| open.contains(rollout));
        shared.tallies().retain(|rollout| open.contains(rollout));
        for rollout in open {
            self.share_evidence_on(&rollout);
        }
    }

    pub(super) fn share_evidence_on(&self, rollout: &(id::Pool, directory::Version)) {
        let shared = &self.parts.shared;
        let (service, order) = rollout;
        let digest = shared.evidence().digest(service, *order);
        let sessions = shared.pins().take_untold(rollout);
        let judges = rollouts::judges(&self.image, service);
        let is_judge = judges.contains(&&self.parts.own.vm);
        let pinned = exposure::Message::Pinned {
            service: service.clone(),
            order: *order,
            sessions: sessions.clone(),
        };
        let evidence = Message::Exposure(exposure::Message::Evidence(digest.clone()));
        let pinned = Message::Exposure(pinned);
        for target in self.others() {
            let judges = judges.contains(&&target.vm);
            if judges && !digest.rows.is_empty() {
                self.send(&target, &evidence);
            }
            if (judges || is_judge) && !sessions.is_empty() {
                self.send(&target, &pinned);
            }
        }
    }

    pub(super) fn send(&self, target: &peer::Target, message: &Message) {
        if let Err(error) = self.parts.links.send(target, message) {
            log::debug!(peer:% = target, why:% = error; "a peer was not told");
        }
    }

    pub(super) fn hear(&mut self, myself: &ActorRef<Command>, incoming: peer::Incoming) {
        let message = match incoming.message {
            Message::Directory(message) => message,
            Message::Balance(message) => {
                let shared = self.parts.shared.clone();
                self.loads.take(&shared, incoming.from.vm, message);
                return;
            }
            Message::Exposure(message) => {
                self.weigh(incoming.from.vm, message);
                return;
            }
            _ => return,
        };
        let from = Member {
            vm: incoming.from.vm,
            zone: incoming.from.zone,
            address: incoming.from.address,
            seen_ms: 0,
        };
        match message {
            directory::Message::Have(changes) => {
                let lacks = self.image.versions().lacks_orders(&changes);
                self.hear_of(myself, from, changes, lacks);
            }
            directory::Message::Fresh(changes) => {
                let now = self.now();
                self.fresh = Some(now);
                self.heard = now;
                let lacks = self.image.versions().is_older_than(&changes);
                self.hear_of(myself, from, changes, lacks);
            }
            directory::Message::Ask(versions) => {
                let update = Box::new(self.image.since(&versions));
                self.answer(incoming.reply, directory::Message::Tell(update));
            }
            directory::Message::Fetch { version, offset } => {
                let table = &self.image.configuration;
                // Without an answer the peer learns at once that there is none.
                if let Some(piece) = self.editions.piece(table, version, offset) {
                    self.answer(incoming.reply, directory::Message::Piece(piece));
                }
            }
            // Answers come to the questions that they belong to.
            directory::Message::Tell(_) | directory::Message::Piece(_) => {}
        }
    }

    fn answer(&self, reply: peer::Reply, message: directory::Message) {
        self.parts.shared.metrics.answers.inc();
        reply.send(Message::Directory(message));
    }

    pub(super) fn others(&self) -> Vec<peer::Target> {
        let members = self.image.members.rows.values();
        members
            .filter(|row| row.value.vm != self.parts.own.vm)
            .map(|row| peer::Target {
                vm: row.value.vm.clone(),
                address: row.value.address,
            })
            .collect()
    }

    pub(super) fn tell_peers(&self) {
        let mut others = self.others();
        let have = Message::Directory(directory::Message::Have(self.image.changes()));
        for _ in 0..TOLD.min(others.len()) {
            let target = others.swap_remove(rand::random_range(0..others.len()));
            self.send(&target, &have);
        }
    }
}
