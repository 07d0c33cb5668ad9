//! Requests to peers for table changes and for the full configuration.
//!
//! At most one request of each kind is pending, plus one to another peer if the response is slow.
//! Further requests would make peers send the same rows repeatedly and congest their links. The
//! kinds are independent so that a large configuration does not delay the removal of an upstream.

use std::time::{Duration, Instant};

use cloverpost_core::directory::fetch::{OutlineRequest, Request};
use cloverpost_core::directory::{
    Member, Outline, PendingRequest, Piece, TableKind, Update, Version, Versions, watchers,
};
use cloverpost_core::{directory, id};
use cloverpost_wire::Message;
use ractor::ActorRef;
use rand::seq::IteratorRandom;

use crate::gateway::codec::Codec;
use crate::gateway::command::{Command, PeerResponse};
use crate::gateway::control::State;
use crate::gateway::control::peers::target;
use crate::gateway::store::Store;
use crate::peer;

/// Time without heartbeats after which a listener sends a request; spans two missed heartbeats.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval between requests while this VM lacks required tables.
const STARTUP_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Pending requests and peers known to have newer tables.
#[derive(Debug, Default)]
pub struct PeerRequests {
    /// Pending requests for table changes.
    in_flight: PendingRequest,
    /// The last peer that reported newer rows, with its versions.
    newer_peer: Option<(Member, Versions)>,
    consecutive_failures: u32,
    /// The newest configuration that a peer told of.
    told_configuration: Version,
}

impl PeerRequests {
    /// The newest configuration that a peer told of.
    pub fn told_configuration(&self) -> Version {
        self.told_configuration
    }
}

impl<C: Codec, S: Store> State<C, S> {
    /// Records that `from` has `changes`; `lacks_changes` is whether this VM lacks some of those
    /// rows.
    pub(super) fn record_peer_versions(
        &mut self,
        myself: &ActorRef<Command>,
        from: Member,
        changes: Versions,
        lacks_changes: bool,
    ) {
        self.configuration_fetch
            .add_holder(from.clone(), changes.configuration);
        let (held, now) = (self.image.configuration.version, self.now());
        self.lag.tell(changes.configuration, held, now);
        if lacks_changes {
            self.requests.newer_peer = Some((from, changes));
        }
        self.continue_requests(myself);
    }

    /// Requests changes from the last peer that reported newer rows, if this VM still lacks them.
    fn request_from_newer_peer(&mut self, myself: &ActorRef<Command>) {
        let now = self.now();
        let requests = &mut self.requests;
        let may_send = |peer: &Member| {
            requests.in_flight.may_send(now) && !requests.in_flight.is_pending(&peer.vm)
        };
        let newer = requests.newer_peer.take_if(|(peer, _)| may_send(peer));
        if let Some((peer, changes)) = newer
            && self.image.versions().is_older_than(&changes)
        {
            self.request_changes(myself, &peer);
        }
    }

    /// Requests whatever is still missing, from another peer if a response is slow.
    pub(super) fn continue_requests(&mut self, myself: &ActorRef<Command>) {
        self.request_from_newer_peer(myself);
        self.continue_fetches(myself);
    }

    /// Requests changes from a watcher: repeatedly until this VM has the required tables, then
    /// only after a heartbeat timeout. The request also makes this VM known to a watcher whose
    /// member list lacks it.
    pub(super) fn request_from_watcher(&mut self, myself: &ActorRef<Command>) {
        let now = self.now();
        let is_due = if self.has_required_tables() && self.has_heard_of_peers() {
            let is_listening = !*self.follows.borrow();
            is_listening
                && now.since(self.last_heartbeat_received) > HEARTBEAT_TIMEOUT
                && now.since(self.last_request) > HEARTBEAT_TIMEOUT
        } else {
            now.since(self.last_request) > STARTUP_REQUEST_INTERVAL
        };
        if !is_due || !self.requests.in_flight.may_send(now) {
            return;
        }
        if let Some(peer) = self.random_watcher() {
            self.last_request = now;
            self.request_changes(myself, &peer);
        }
    }

    /// Returns a random watcher of this availability zone, or of the next one.
    fn random_watcher(&self) -> Option<Member> {
        let own = &self.context.own;
        let members = &self.image.members;
        let ranked = members.ranked(&own.zone).into_iter();
        let own_zone = ranked.take(watchers::WATCHERS);
        let own_zone = own_zone
            .filter(|member| member.vm != own.vm)
            .choose(&mut rand::rng());
        let next_zone = || {
            members
                .next_watchers(&own.zone)
                .into_iter()
                .choose(&mut rand::rng())
        };
        own_zone.or_else(next_zone).cloned()
    }

    /// Requests changes from a random peer.
    pub(super) fn request_from_random_peer(&mut self, myself: &ActorRef<Command>) {
        let members = self.image.members.rows.values().map(|row| &row.value);
        let others: Vec<_> = members
            .filter(|member| member.vm != self.context.own.vm)
            .collect();
        if !self.requests.in_flight.may_send(self.now()) || others.is_empty() {
            return;
        }
        let peer = others[rand::random_range(0..others.len())].clone();
        self.request_changes(myself, &peer);
    }

    fn request_changes(&mut self, myself: &ActorRef<Command>, peer: &Member) {
        let now = self.now();
        self.requests.in_flight.start(peer.vm.clone(), now);
        let message = directory::Message::Ask(self.image.versions());
        self.send_request(myself, peer, Message::Directory(message));
    }

    /// Requests the next pieces of a newer configuration and of the upstream table.
    fn continue_fetches(&mut self, myself: &ActorRef<Command>) {
        let now = self.now();
        let zone = &self.context.own.zone;
        let mut rng = rand::rng();
        let own = self.image.configuration.version;
        let fetch = &mut self.configuration_fetch;
        if fetch.lacks_base(own)
            && let Some(encoded) = self
                .configuration_encodings
                .newest(&self.image.configuration)
        {
            fetch.set_base(encoded);
        }
        if let Some(request) = fetch.next_outline(now, own, zone, &mut rng) {
            self.request_outline(myself, TableKind::Configuration, &request);
        } else if let Some(request) = fetch.next(now, own, zone, &mut rng) {
            self.request_piece(myself, TableKind::Configuration, &request);
        }
        let fetch = self.upstream_fetch.as_mut();
        // The fetch replaces the whole table, so any version counts as newer.
        let none = directory::Version::default();
        if let Some(request) = fetch.and_then(|fetch| fetch.next(now, none, zone, &mut rng)) {
            self.request_piece(myself, TableKind::Upstreams, &request);
        }
    }

    fn request_outline(
        &self,
        myself: &ActorRef<Command>,
        table: TableKind,
        request: &OutlineRequest,
    ) {
        let fetch = directory::Message::FetchOutline {
            table,
            version: request.version,
        };
        self.send_request(myself, &request.holder, Message::Directory(fetch));
    }

    fn request_piece(&self, myself: &ActorRef<Command>, table: TableKind, request: &Request) {
        let fetch = directory::Message::Fetch {
            table,
            version: request.version,
            offset: request.offset,
        };
        self.send_request(myself, &request.holder, Message::Directory(fetch));
    }

    /// Sends `message` in the background; the result returns as a command.
    pub(super) fn send_request(&self, myself: &ActorRef<Command>, peer: &Member, message: Message) {
        let target = target(peer);
        let peer = peer.clone();
        let links = self.context.links.clone();
        let controller = myself.clone();
        self.count_message(&message);
        tokio::spawn(async move {
            let started = Instant::now();
            let result = links.request(&target, &message).await;
            let took = started.elapsed();
            // The send fails only during process shutdown.
            let _ = controller.cast(Command::PeerRequestDone {
                peer,
                took,
                response: peer_response(&message, result),
            });
        });
    }

    /// Handles the result of a request and requests whatever is still missing.
    pub(super) fn handle_peer_response(
        &mut self,
        myself: &ActorRef<Command>,
        peer: &Member,
        took: Duration,
        response: PeerResponse,
    ) {
        match response {
            PeerResponse::Update(result) => {
                self.requests.in_flight.finish(&peer.vm);
                self.record_result(peer, took, result.as_ref().err());
                match result {
                    Ok(update) => self.handle_update(peer, took, *update),
                    Err(_) => self.forget_newer_peer(&peer.vm),
                }
            }
            PeerResponse::Quarantined(result) => {
                self.record_result(peer, took, result.as_ref().err());
                if let Ok(facts) = result {
                    self.handle_quarantined(facts);
                }
            }
            PeerResponse::Piece(table, result) => {
                self.record_result(peer, took, result.as_ref().err());
                self.handle_piece(peer, table, result.ok().as_ref());
            }
            PeerResponse::Outline(_table, result) => {
                self.record_result(peer, took, result.as_ref().err());
                self.handle_outline(peer, &result);
            }
        }
        self.continue_requests(myself);
    }

    fn handle_update(&mut self, peer: &Member, took: Duration, update: Update) {
        self.is_told = true;
        let told = &mut self.requests.told_configuration;
        *told = update.configuration.max(*told);
        let (held, now) = (self.image.configuration.version, self.now());
        self.lag.tell(update.configuration, held, now);
        self.configuration_fetch
            .add_holder(peer.clone(), update.configuration);
        match update.upstreams_to_fetch {
            Some(version) => {
                let fetch = self.upstream_fetch.get_or_insert_default();
                fetch.add_holder(peer.clone(), version);
            }
            // The update contained the full upstream table.
            None if update.upstreams.is_some() => self.upstream_fetch = None,
            None => {}
        }
        self.apply_update(peer, took, update);
        self.publish_first_view();
    }

    /// Handles the outline of a configuration from `peer`. Earlier releases do not know outlines and
    /// refuse the request.
    fn handle_outline(&mut self, peer: &Member, result: &Result<Outline, peer::Error>) {
        let now = self.now();
        let fetch = &mut self.configuration_fetch;
        match result {
            Ok(outline) => {
                if let Some(fetched) = fetch.receive_outline(&peer.vm, outline, now) {
                    self.apply_configuration(fetched);
                }
            }
            Err(peer::Error::Refused) => fetch.refuse_outline(&peer.vm),
            Err(_) => fetch.fail(&peer.vm),
        }
    }

    /// Handles a piece of `table` from `peer`; `None` if the request failed.
    fn handle_piece(&mut self, peer: &Member, table: TableKind, piece: Option<&Piece>) {
        let now = self.now();
        match (table, &mut self.upstream_fetch, piece) {
            (TableKind::Configuration, _, None) => self.configuration_fetch.fail(&peer.vm),
            (TableKind::Configuration, _, Some(piece)) => {
                if let Some(fetched) = self.configuration_fetch.receive(&peer.vm, piece, now) {
                    self.apply_configuration(fetched);
                }
            }
            (TableKind::Upstreams, None, _) => {}
            (TableKind::Upstreams, Some(fetch), None) => fetch.fail(&peer.vm),
            (TableKind::Upstreams, Some(fetch), Some(piece)) => {
                if let Some(fetched) = fetch.receive(&peer.vm, piece, now) {
                    self.upstream_fetch = None;
                    self.replace_upstreams(fetched);
                }
            }
        }
    }

    /// Drops `vm` as a source of newer rows until it reports them again.
    fn forget_newer_peer(&mut self, vm: &id::Vm) {
        self.requests.newer_peer = self
            .requests
            .newer_peer
            .take()
            .filter(|(peer, _)| peer.vm != *vm);
    }

    /// Counts the result of a request. Logs the first of consecutive failures, and their number
    /// after the next success.
    fn record_result(&mut self, peer: &Member, took: Duration, error: Option<&peer::Error>) {
        let name = match error {
            None => "answered",
            Some(peer::Error::TimedOut) => "timed_out",
            Some(peer::Error::BackingOff) => "pausing",
            Some(_) => "failed",
        };
        let metrics = &self.context.shared.metrics;
        metrics.peer_requests.with_label_values(&[name]).inc();
        let Some(error) = error else {
            let failed = std::mem::take(&mut self.requests.consecutive_failures);
            if failed > 0 {
                log::info!(failed; "peers answer questions again");
            }
            return;
        };
        let failures = &mut self.requests.consecutive_failures;
        *failures = failures.saturating_add(1);
        if *failures == 1 {
            let took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
            log::warn!(peer = peer.vm.as_str(), why:% = error, took_ms; "a peer did not answer a question");
        }
    }
}

/// Decodes the result of `request`. A response of an unexpected type counts as unanswered.
fn peer_response(request: &Message, result: Result<Message, peer::Error>) -> PeerResponse {
    match request {
        Message::Poison(_) => PeerResponse::Quarantined(result.and_then(|message| match message {
            Message::Poison(facts) => Ok(facts),
            _ => Err(peer::Error::Unanswered),
        })),
        Message::Directory(directory::Message::Fetch { table, .. }) => {
            let piece = result.and_then(|message| match message {
                Message::Directory(directory::Message::Piece(piece)) => Ok(piece),
                _ => Err(peer::Error::Unanswered),
            });
            PeerResponse::Piece(*table, piece)
        }
        Message::Directory(directory::Message::FetchOutline { table, .. }) => {
            let outline = result.and_then(|message| match message {
                Message::Directory(directory::Message::Outline(outline)) => Ok(outline),
                _ => Err(peer::Error::Unanswered),
            });
            PeerResponse::Outline(*table, outline)
        }
        _ => PeerResponse::Update(result.and_then(|message| match message {
            Message::Directory(directory::Message::Tell(update)) => Ok(update),
            _ => Err(peer::Error::Unanswered),
        })),
    }
}
