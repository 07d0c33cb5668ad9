//! What VMs tell and ask each other.

use std::time::Duration;

use cloverpost_core::directory::{Member, Size, Update, Whole};
use cloverpost_core::{directory, exposure, id};
use cloverpost_wire::Message;
use ractor::ActorRef;
use rand::seq::IteratorRandom;

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
/// VMs of the zone that are told by one that has fetched all upstreams.
const OFFERED: usize = 4;
/// Least time between them while tables change; each may bring a question of every listener.
const TELL_LEAST: Duration = Duration::from_millis(120);
/// Time since the store's last answer within which a VM counts as hearing from it: it holds
/// calls back for 2.5 s while nothing changes.
const HEARS: Duration = Duration::from_millis(2700);
/// Time for which a VM that asked is told although it is not on the list; the list comes within
/// some seconds.
const UNLISTED: Duration = Duration::from_secs(10);
/// VMs that are told so at most, 200 bytes each.
const MOST_UNLISTED: usize = 200;

impl<C: Codec, S: Store> State<C, S> {
    pub(super) fn share_loads(&mut self) {
        let shared = self.parts.shared.clone();
        let members = &self.image.members;
        for (member, message) in self.loads.letters(&shared, members, &self.parts.own) {
            self.send(&target(&member), &Message::Balance(message));
        }
    }

    /// Whether what this VM knows comes from the store now.
    pub(super) fn hears(&self) -> bool {
        let is_answered = self.now().since(self.answered) < HEARS;
        self.is_informed() && *self.follows.borrow() && self.lost.is_empty() && is_answered
    }

    /// Whether this VM has just started and reads what it needs from the store.
    fn is_reading(&self) -> bool {
        !self.is_informed() && *self.follows.borrow() && self.lost.is_empty()
    }

    /// Tells the VMs of the same availability zone, and the watchers of the next one, that this
    /// one hears from the store.
    pub(super) fn tell_listeners(&mut self) {
        let now = self.now();
        if !self.hears() || now.since(self.told) < TELL_LEAST {
            return;
        }
        self.told = now;
        let own = &self.parts.own;
        let members = &self.image.members;
        self.unlisted.retain(|vm, (_, asked)| {
            !members.rows.contains_key(vm.as_str()) && now.since(*asked) < UNLISTED
        });
        let zone = members.rows.values().map(|row| &row.value);
        let zone = zone.filter(|one| one.zone == own.zone && one.vm != own.vm);
        let unlisted = self.unlisted.values().map(|(member, _)| member);
        let others = members.next_watchers(&own.zone);
        let fresh = Message::Directory(directory::Message::Fresh(self.image.changes()));
        for member in zone.chain(unlisted).chain(others) {
            self.send(&target(member), &fresh);
        }
    }

    /// Takes in that `from` hears from the store, or is about to. What a VM that ranks behind this
    /// one says does not count: each would leave the store to the other.
    pub(super) fn note_fresh(&mut self, from: &Member) {
        let now = self.now();
        self.note_word(now);
        let members = &self.image.members;
        let listed = members.rows.get(from.vm.as_str()).map(|row| &row.value);
        let is_before =
            listed.is_none_or(|listed| members.place(listed) < members.place(&self.parts.own));
        if from.zone == self.parts.own.zone && is_before {
            self.fresh = now;
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
            size: Size::default(),
        };
        match message {
            directory::Message::Have(changes) => {
                let lacks = self.image.versions().lacks_orders(&changes);
                self.hear_of(myself, from, changes, lacks);
            }
            directory::Message::Fresh(changes) => {
                self.note_fresh(&from);
                let lacks = self.image.versions().is_older_than(&changes);
                self.hear_of(myself, from, changes, lacks);
            }
            directory::Message::Ask(versions) => {
                let update = Box::new(Update {
                    follows: self.hears() || self.is_reading(),
                    returned: self.returned_ago(),
                    ..self.image.since(&versions)
                });
                self.welcome(from);
                self.answer(incoming.reply, directory::Message::Tell(update));
            }
            directory::Message::Holds(Whole::Configuration, version) => {
                self.configuration_fetch.hear(from, version);
            }
            directory::Message::Holds(Whole::Upstreams, version) => {
                if let Some(fetch) = &mut self.upstream_fetch {
                    fetch.hear(from, version);
                }
            }
            directory::Message::Fetch {
                table,
                version,
                offset,
            } => {
                let image = &self.image;
                let piece = match table {
                    Whole::Configuration => {
                        let table = &image.configuration;
                        self.configuration_editions.piece(table, version, offset)
                    }
                    Whole::Upstreams => {
                        self.upstream_editions
                            .piece(&image.upstreams, version, offset)
                    }
                };
                // Without an answer the peer learns at once that there is none.
                if let Some(piece) = piece {
                    self.answer(incoming.reply, directory::Message::Piece(piece));
                }
            }
            // Answers come to the questions that they belong to.
            directory::Message::Tell(_) | directory::Message::Piece(_) => {}
        }
    }

    /// Remembers a VM of the zone that is not on the list yet, so that it is told as well.
    fn welcome(&mut self, from: Member) {
        let is_listed = self.image.members.rows.contains_key(from.vm.as_str());
        if from.zone == self.parts.own.zone && !is_listed && self.unlisted.len() < MOST_UNLISTED {
            let now = self.now();
            self.unlisted.insert(from.vm.clone(), (from, now));
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
            .map(|row| target(&row.value))
            .collect()
    }

    /// Tells some VMs of the zone that they may fetch the upstreams here. Two watchers of 20 Mbit/s
    /// would take three seconds to hand 3,000 upstreams to 48 others by themselves.
    pub(super) fn offer_upstreams(&self, version: directory::Version) {
        let own = &self.parts.own;
        let holds = Message::Directory(directory::Message::Holds(Whole::Upstreams, version));
        let zone = self.image.members.rows.values().map(|row| &row.value);
        let zone = zone.filter(|one| one.zone == own.zone && one.vm != own.vm);
        for member in zone.choose_multiple(&mut rand::rng(), OFFERED) {
            self.send(&target(member), &holds);
        }
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

/// Where `member` takes links.
pub(super) fn target(member: &Member) -> peer::Target {
    peer::Target {
        vm: member.vm.clone(),
        address: member.address,
    }
}
