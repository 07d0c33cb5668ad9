//! Messages exchanged with other VMs.

use std::time::Duration;

use cloverpost_core::directory::{Member, Outline, Piece, Size, TableKind, Update};
use cloverpost_core::{directory, exposure, id, time};
use cloverpost_wire::Message;
use ractor::ActorRef;
use rand::seq::IteratorRandom;

use crate::gateway::codec::Codec;
use crate::gateway::command::Command;
use crate::gateway::control::State;
use crate::gateway::store::Store;
use crate::gateway::{pushback, rollouts};
use crate::peer;

/// Number of random peers notified of a change. With three, one of six VMs that has no contact with
/// the store is missed by all others once in a hundred changes; it requests the change after its
/// heartbeat timeout.
const CHANGE_FANOUT: usize = 3;
/// Number of VMs of the availability zone notified after fetching a table. Two watchers with links
/// of 20 Mbit/s would take three seconds to send 3,000 upstreams to 48 VMs by themselves.
const TABLE_FANOUT: usize = 4;
/// Minimum interval between heartbeats, since each can trigger a request from every listener.
const HEARTBEAT_MIN_INTERVAL: Duration = Duration::from_millis(120);
/// Time after the last store response during which the store counts as reachable. Exceeds the 2.5 s
/// of a long poll.
const STORE_CONTACT_WINDOW: Duration = Duration::from_millis(2700);
/// How long a VM missing from the member list receives heartbeats after its last request.
const UNLISTED_TTL: Duration = Duration::from_secs(10);
/// Maximum number of tracked VMs that are missing from the member list, at about 200 bytes each.
const UNLISTED_MAX: usize = 200;

impl<C: Codec, S: Store> State<C, S> {
    pub(super) fn share_loads(&mut self) {
        let shared = self.context.shared.clone();
        let members = &self.image.members;
        for (member, message) in self
            .loads
            .outgoing_messages(&shared, members, &self.context.own)
        {
            self.send(&target(&member), &Message::Balance(message));
        }
    }

    /// The other VMs of this availability zone.
    pub(super) fn peers_of_zone(&self) -> Vec<peer::Target> {
        let own = &self.context.own;
        let members = self.image.members.rows.values().map(|row| &row.value);
        let others = members.filter(|member| member.zone == own.zone && member.vm != own.vm);
        others.map(target).collect()
    }

    /// The watchers of this availability zone.
    pub(super) fn watchers_of_zone(&self) -> Vec<peer::Target> {
        let zone = &self.context.own.zone;
        let watchers = self.image.members.watchers().into_iter();
        watchers
            .filter(|watcher| watcher.zone == *zone)
            .map(target)
            .collect()
    }

    /// The watchers of the other availability zones.
    pub(super) fn watchers_of_other_zones(&self) -> Vec<peer::Target> {
        let zone = &self.context.own.zone;
        let watchers = self.image.members.watchers().into_iter();
        watchers
            .filter(|watcher| watcher.zone != *zone)
            .map(target)
            .collect()
    }

    /// Returns whether the tables of this VM are up to date with the store.
    pub(super) fn has_store_contact(&self) -> bool {
        let is_answered = self.now().since(self.last_store_response) < STORE_CONTACT_WINDOW;
        self.has_required_tables()
            && *self.follows.borrow()
            && self.failed_topics.is_empty()
            && is_answered
    }

    /// Returns whether this VM is reading its initial tables from the store.
    fn is_loading(&self) -> bool {
        !self.has_required_tables() && *self.follows.borrow() && self.failed_topics.is_empty()
    }

    /// Sends heartbeats to the VMs of the same availability zone and to the watchers of the next
    /// one.
    pub(super) fn send_heartbeats(&mut self) {
        let now = self.now();
        if !self.has_store_contact() || now.since(self.last_heartbeat_sent) < HEARTBEAT_MIN_INTERVAL
        {
            return;
        }
        self.last_heartbeat_sent = now;
        let own = &self.context.own;
        let members = &self.image.members;
        self.unlisted.retain(|vm, (_, asked)| {
            !members.rows.contains_key(vm.as_str()) && now.since(*asked) < UNLISTED_TTL
        });
        let zone = members.rows.values().map(|row| &row.value);
        let zone = zone.filter(|member| member.zone == own.zone && member.vm != own.vm);
        let unlisted = self.unlisted.values().map(|(member, _)| member);
        let others = members.next_watchers(&own.zone);
        let fresh = Message::Directory(directory::Message::Fresh(self.image.changes()));
        for member in zone.chain(unlisted).chain(others) {
            self.send(&target(member), &fresh);
        }
    }

    /// Records a heartbeat or an equivalent reply from `from`. Heartbeats of lower-ranked VMs are
    /// ignored; otherwise two VMs could each leave following the store to the other.
    pub(super) fn record_heartbeat(&mut self, from: &Member) {
        let now = self.now();
        self.record_store_contact(now);
        let members = &self.image.members;
        let listed = members.rows.get(from.vm.as_str()).map(|row| &row.value);
        let is_higher_ranked =
            listed.is_none_or(|listed| members.rank(listed) < members.rank(&self.context.own));
        if from.zone == self.context.own.zone && is_higher_ranked {
            self.last_heartbeat_received = now;
        }
    }

    pub(super) fn merge_exposure(&self, from: id::Vm, message: exposure::Message) {
        let shared = &self.context.shared;
        match message {
            exposure::Message::Evidence(digest) => shared.evidence().merge(from, digest),
            exposure::Message::Failures(digest) => shared.evidence().merge_failures(from, digest),
            exposure::Message::Pace(digest) => shared.evidence().merge_pace(from, digest),
            exposure::Message::Pinned {
                service,
                order,
                sessions,
            } => shared.pins().merge(&(service, order), &sessions),
        }
    }

    /// Sends evidence and pinned sessions of rollouts in progress to the aggregators, which
    /// forward pinned sessions to all VMs. Drops the data of other rollouts.
    pub(super) fn share_evidence(&mut self, now: time::Moment) {
        let open = rollouts::in_progress(&self.image);
        let shared = &self.context.shared;
        shared.evidence().retain(&open);
        shared.pins().retain(|rollout| open.contains(rollout));
        shared.tallies().retain(|rollout| open.contains(rollout));
        let vms = shared.fleet().vms();
        if now.since(self.last_counts) > exposure::counts_interval(vms) {
            self.last_counts = now;
            for (service, order) in &open {
                self.share_counts(service, *order);
            }
        }
        if now.since(self.last_pins) > exposure::pins_interval(vms) {
            self.last_pins = now;
            for rollout in &open {
                self.share_pins(rollout);
            }
        }
    }

    fn share_counts(&self, service: &id::Pool, order: directory::Version) {
        let digests = self.context.shared.evidence().digests(service, order);
        let messages: Vec<_> = digests.into_iter().map(Message::Exposure).collect();
        let aggregators = rollouts::aggregators(&self.image, service);
        for target in self.peer_targets() {
            if aggregators.contains(&&target.vm) {
                for message in &messages {
                    self.send(&target, message);
                }
            }
        }
    }

    fn share_pins(&self, rollout: &(id::Pool, directory::Version)) {
        let sessions = self.context.shared.pins().take_unsent(rollout);
        if sessions.is_empty() {
            return;
        }
        let (service, order) = rollout;
        let aggregators = rollouts::aggregators(&self.image, service);
        let is_aggregator = aggregators.contains(&&self.context.own.vm);
        let pinned = Message::Exposure(exposure::Message::Pinned {
            service: service.clone(),
            order: *order,
            sessions,
        });
        for target in self.peer_targets() {
            if is_aggregator || aggregators.contains(&&target.vm) {
                self.send(&target, &pinned);
            }
        }
    }

    pub(super) fn send(&self, target: &peer::Target, message: &Message) {
        self.count_message(message);
        if let Err(error) = self.context.links.send(target, message) {
            log::debug!(peer:% = target, why:% = error; "failed to send a message to a peer");
        }
    }

    pub(super) fn handle_peer_message(
        &mut self,
        myself: &ActorRef<Command>,
        incoming: peer::Incoming,
    ) {
        let message = match incoming.message {
            Message::Directory(message) => message,
            Message::Balance(message) => {
                let shared = self.context.shared.clone();
                self.loads
                    .handle_message(&shared, incoming.from.vm, message);
                return;
            }
            Message::Poison(facts) => {
                self.merge_crash_facts(facts);
                if incoming.reply.is_awaited() {
                    self.reply_with_quarantined(incoming.reply);
                }
                return;
            }
            Message::Throttle(notices) => {
                let from = peer::Target {
                    vm: incoming.from.vm,
                    address: incoming.from.address,
                };
                self.merge_rate_limits(&from, notices);
                return;
            }
            Message::Fragile(notices) => {
                self.merge_rejections(&incoming.from.vm, notices);
                return;
            }
            Message::Pushback(notice) => {
                pushback::merge(&self.context.shared, &incoming.from.vm, &notice);
                return;
            }
            Message::Exposure(message) => {
                self.merge_exposure(incoming.from.vm, message);
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
                let lacks_changes = self.image.versions().is_missing_orders(&changes);
                self.record_peer_versions(myself, from, changes, lacks_changes);
            }
            directory::Message::Fresh(changes) => {
                self.record_heartbeat(&from);
                let lacks_changes = self.image.versions().is_older_than(&changes);
                self.record_peer_versions(myself, from, changes, lacks_changes);
            }
            directory::Message::Ask(versions) => {
                let update = Box::new(Update {
                    follows: self.has_store_contact() || self.is_loading(),
                    returned: self.time_since_recovery(),
                    ..self.image.since(&versions)
                });
                // A VM that has just started sends to upstreams without knowing their limits.
                self.send_all_rate_limits(&target(&from));
                self.track_unlisted(from);
                self.reply(incoming.reply, directory::Message::Tell(update));
            }
            directory::Message::Holds(TableKind::Configuration, version) => {
                self.configuration_fetch.add_holder(from, version);
            }
            directory::Message::Holds(TableKind::Upstreams, version) => {
                if let Some(fetch) = &mut self.upstream_fetch {
                    fetch.add_holder(from, version);
                }
            }
            directory::Message::Fetch {
                table,
                version,
                offset,
            } => {
                let piece = self.piece(table, version, offset);
                // Dropping the reply tells the peer at once that the piece is unavailable.
                if let Some(piece) = piece {
                    self.reply(incoming.reply, directory::Message::Piece(piece));
                }
            }
            directory::Message::FetchOutline { table, version } => {
                if let Some(outline) = self.outline(table, version) {
                    self.reply(incoming.reply, directory::Message::Outline(outline));
                }
            }
            // Replies are delivered to the pending request.
            directory::Message::Tell(_)
            | directory::Message::Piece(_)
            | directory::Message::Outline(_) => {}
        }
    }

    fn piece(
        &mut self,
        table: TableKind,
        version: directory::Version,
        offset: usize,
    ) -> Option<Piece> {
        let image = &self.image;
        match table {
            TableKind::Configuration => {
                let table = &image.configuration;
                self.configuration_encodings.piece(table, version, offset)
            }
            TableKind::Upstreams => {
                self.upstream_encodings
                    .piece(&image.upstreams, version, offset)
            }
        }
    }

    fn outline(&mut self, table: TableKind, version: directory::Version) -> Option<Outline> {
        let image = &self.image;
        match table {
            TableKind::Configuration => {
                let table = &image.configuration;
                self.configuration_encodings.outline(table, version)
            }
            TableKind::Upstreams => self.upstream_encodings.outline(&image.upstreams, version),
        }
    }

    /// Tracks a VM missing from the member list so that it receives heartbeats.
    fn track_unlisted(&mut self, from: Member) {
        let is_listed = self.image.members.rows.contains_key(from.vm.as_str());
        if from.zone == self.context.own.zone && !is_listed && self.unlisted.len() < UNLISTED_MAX {
            let now = self.now();
            self.unlisted.insert(from.vm.clone(), (from, now));
        }
    }

    fn reply(&self, reply: peer::Reply, message: directory::Message) {
        self.context.shared.metrics.peer_responses.inc();
        self.send_reply(reply, Message::Directory(message));
    }

    pub(super) fn send_reply(&self, reply: peer::Reply, message: Message) {
        self.count_message(&message);
        reply.send(message);
    }

    pub(super) fn count_message(&self, message: &Message) {
        let messages = &self.context.shared.metrics.peers.messages;
        messages.with_label_values(&[message.kind()]).inc();
    }

    pub(super) fn peer_targets(&self) -> Vec<peer::Target> {
        let members = self.image.members.rows.values();
        members
            .filter(|row| row.value.vm != self.context.own.vm)
            .map(|row| target(&row.value))
            .collect()
    }

    /// Advertises a table to some VMs of the availability zone. Transfers from the watchers alone
    /// would be limited by their bandwidth, and end when they fail.
    pub(super) fn advertise(&self, table: TableKind, version: directory::Version) {
        let own = &self.context.own;
        let holds = Message::Directory(directory::Message::Holds(table, version));
        let zone = self.image.members.rows.values().map(|row| &row.value);
        let zone = zone.filter(|member| member.zone == own.zone && member.vm != own.vm);
        for member in zone.choose_multiple(&mut rand::rng(), TABLE_FANOUT) {
            self.send(&target(member), &holds);
        }
    }

    pub(super) fn notify_peers(&self) {
        let mut others = self.peer_targets();
        let have = Message::Directory(directory::Message::Have(self.image.changes()));
        for _ in 0..CHANGE_FANOUT.min(others.len()) {
            let target = others.swap_remove(rand::random_range(0..others.len()));
            self.send(&target, &have);
        }
    }
}

/// Returns the link target of `member`.
pub(super) fn target(member: &Member) -> peer::Target {
    peer::Target {
        vm: member.vm.clone(),
        address: member.address,
    }
}
