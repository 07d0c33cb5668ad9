//! What VMs tell and ask each other.

use std::time::{Duration, Instant};

use cloverpost_core::directory::Update;
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
/// Least time between them while tables change; each may bring a table's worth of
/// bytes to every listener.
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
        match message {
            directory::Message::Have(versions) => {
                if self.image.versions().is_behind(&versions) {
                    let target = peer::Target {
                        vm: incoming.from.vm,
                        address: incoming.from.address,
                    };
                    self.ask(myself, target);
                }
            }
            directory::Message::Fresh(changed) => {
                let now = self.now();
                self.fresh = Some(now);
                self.heard = now;
                let is_old = self.image.versions().is_older_than(&changed);
                if is_old && now.since(self.asked) > TELL_LEAST {
                    self.asked = now;
                    let target = peer::Target {
                        vm: incoming.from.vm,
                        address: incoming.from.address,
                    };
                    self.ask(myself, target);
                }
            }
            directory::Message::Ask(versions) => {
                let newer = Box::new(self.image.since(&versions));
                self.parts.shared.metrics.answers.inc();
                incoming
                    .reply
                    .send(Message::Directory(directory::Message::Tell(newer)));
            }
            directory::Message::Tell(update) => {
                let target = peer::Target {
                    vm: incoming.from.vm,
                    address: incoming.from.address,
                };
                self.update(&target, Duration::ZERO, *update);
            }
        }
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

    pub(super) fn ask_a_peer(&self, myself: &ActorRef<Command>) {
        let mut others = self.others();
        if others.is_empty() {
            return;
        }
        let target = others.swap_remove(rand::random_range(0..others.len()));
        self.ask(myself, target);
    }

    pub(super) fn ask(&self, myself: &ActorRef<Command>, target: peer::Target) {
        let links = self.parts.links.clone();
        let ask = Message::Directory(directory::Message::Ask(self.image.versions()));
        let keeper = myself.clone();
        tokio::spawn(async move {
            let started = Instant::now();
            let result = match links.request(&target, &ask).await {
                Ok(Message::Directory(directory::Message::Tell(update))) => Ok(update),
                // A peer of another make: it has no tables for this VM.
                Ok(_) => Err(peer::Error::Unanswered),
                Err(error) => Err(error),
            };
            let answered = Command::Answered {
                peer: target,
                took: started.elapsed(),
                result,
            };
            // The keeper is gone only while the process ends.
            let _ = keeper.cast(answered);
        });
    }

    /// Takes the end of a question in.
    pub(super) fn take_answer(
        &mut self,
        peer: &peer::Target,
        took: Duration,
        result: Result<Box<Update>, peer::Error>,
    ) {
        let name = match &result {
            Ok(_) => "answered",
            Err(peer::Error::TimedOut) => "timed_out",
            Err(peer::Error::Pausing) => "pausing",
            Err(_) => "failed",
        };
        let metrics = &self.parts.shared.metrics;
        metrics.questions.with_label_values(&[name]).inc();
        match result {
            Ok(update) => {
                self.note_answered();
                self.update(peer, took, *update);
            }
            Err(error) => self.note_unanswered(peer, took, &error),
        }
    }

    /// Tells of peers that answer no more, once until one does again.
    fn note_unanswered(&mut self, peer: &peer::Target, took: Duration, error: &peer::Error) {
        self.unanswered = self.unanswered.saturating_add(1);
        if self.unanswered == 1 {
            let took_ms = millis(took);
            log::warn!(peer:% = peer, why:% = error, took_ms; "a peer did not answer a question");
        }
    }

    fn note_answered(&mut self) {
        let failed = std::mem::take(&mut self.unanswered);
        if failed > 0 {
            log::info!(failed; "peers answer questions again");
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
