//! The control thread of a gateway.
//!
//! An actor owns the [`Image`], a replica of the store's tables. Followers deliver updates from
//! the store. While the store is unavailable, the actor requests updates from peers; the copy with
//! the newest version wins regardless of its source. Every change publishes a new view to the
//! traffic thread.

mod lag;
mod peer_requests;
mod peers;
mod periodic;
mod quarantine;
mod rate_limits;
mod rejections;
mod restore;
mod tables;
mod view_log;
mod writes;

use std::collections::{BTreeSet, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::{Duration, Instant};

use cloverpost_core::directory::{
    Configuration, Encodings, Era, Fetch, Image, Member, Upstream, Version,
};
use cloverpost_core::{id, time};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::watch;

use crate::gateway::breaker::Breaker;
use crate::gateway::codec::Codec;
use crate::gateway::command::Command;
use crate::gateway::follow::Follower;
use crate::gateway::store::{Store, Topic};
use crate::gateway::{Shared, loads};
use crate::peer;

/// Interval of the periodic tasks.
const TICK: Duration = Duration::from_millis(125);

/// Dependencies of the control actor.
pub struct Context<C: Codec, S> {
    /// State shared with the traffic thread.
    pub shared: Arc<Shared<C>>,
    /// The store.
    pub store: S,
    /// Links to peers.
    pub links: peer::Links,
    /// The member row of this VM.
    pub own: Member,
}

/// Actor that owns the replica of the store's tables.
pub struct Controller<C: Codec, S>(std::marker::PhantomData<(C, S)>);

impl<C: Codec, S> Default for Controller<C, S> {
    fn default() -> Self {
        Self(std::marker::PhantomData)
    }
}

/// State of the control actor.
pub struct State<C: Codec, S> {
    context: Context<C, S>,
    image: Image,
    /// Upstreams whose registrations expired during a store outage, with the time until which they
    /// stay in use.
    retained_upstreams: HashMap<String, (Upstream, time::Moment)>,
    /// The latest era of the store that this VM knows of.
    era: watch::Sender<Era>,
    /// Whether a peer has told this VM of its tables since its start.
    is_told: bool,
    /// When this VM learnt that the store came back from a copy, while it keeps what the store has
    /// lost.
    restored: Option<time::Moment>,
    /// Upstreams that were removed and stand in a copy of the store again, with the version of their
    /// rows and the time until which they are not used.
    withheld_upstreams: HashMap<String, (Version, time::Moment)>,
    /// Tables and keys of the rows that are kept against the store's word, as logged.
    logged_overruled: BTreeSet<(&'static str, String)>,
    /// Unreadable rows already logged, with the logged version.
    logged_unreadable: HashMap<(Topic, String), Version>,
    /// Topics whose last store call failed, with the time of the last failure.
    failed_topics: HashMap<Topic, time::Moment>,
    /// Whether a store call has failed and none has succeeded since.
    is_store_unavailable: bool,
    /// When the store last recovered from an outage.
    store_recovered: Option<time::Moment>,
    /// When the store last recovered from an outage, as reported by a peer.
    reported_recovery: Option<time::Moment>,
    /// When the store last responded.
    last_store_response: time::Moment,
    /// When the store last responded, directly or as reported by a peer.
    last_store_contact: time::Moment,
    /// When store contact last resumed after a timeout.
    store_contact_resumed: Option<time::Moment>,
    last_eviction: time::Moment,
    /// When this VM last sent the counts of rollouts.
    last_counts: time::Moment,
    /// When this VM last sent the pinned sessions of rollouts.
    last_pins: time::Moment,
    /// When this VM, as a watcher, last repeated the rate limits of upstreams.
    last_rate_limits: time::Moment,
    last_request: time::Moment,
    quarantine_requests: quarantine::Requests,
    /// Requests whose change is to be repeated to the availability zone, with the time.
    quarantine_repeats: Vec<quarantine::Repeat>,
    requests: peer_requests::PeerRequests,
    /// The encoded configuration, served to peers in pieces.
    configuration_encodings: Encodings,
    /// The ongoing fetch of a newer configuration.
    configuration_fetch: Fetch<Configuration>,
    /// Number of commands whose handling panicked.
    panics: u64,
    /// Whether this VM lacks a configuration that it was told of.
    lag: lag::Lag,
    /// The encoded upstream table, served to peers in pieces.
    upstream_encodings: Encodings,
    /// The ongoing fetch of the upstream table, used if the difference exceeds one message.
    upstream_fetch: Option<Fetch<Upstream>>,
    writes: writes::Writes,
    loads: loads::Loads,
    /// When a VM of the availability zone last reported store contact.
    last_heartbeat_received: time::Moment,
    last_heartbeat_sent: time::Moment,
    /// VMs of the availability zone that sent requests but are not in the member list yet.
    unlisted: HashMap<id::Vm, (Member, time::Moment)>,
    breaker: Breaker,
    /// Version of the member list from which the senders to cold upstreams were computed.
    senders_version: Version,
    /// Whether the member list has been received from the store or a peer.
    has_members: bool,
    /// Whether the member list lacks the current row of this VM.
    is_unlisted: watch::Sender<bool>,
    /// Whether this VM follows the configuration and the upstreams in the store.
    follows: watch::Sender<bool>,
    /// Whether this VM follows the member list in the store.
    follows_members: watch::Sender<bool>,
    /// Whether this VM follows the rollout states in the store.
    follows_progress: watch::Sender<bool>,
}

impl<C: Codec, S: Store> Actor for Controller<C, S> {
    type Msg = Command;
    type State = State<C, S>;
    type Arguments = Context<C, S>;

    async fn pre_start(
        &self,
        myself: ActorRef<Command>,
        context: Context<C, S>,
    ) -> Result<State<C, S>, ActorProcessingErr> {
        context
            .shared
            .metrics
            .register_link_counters(context.links.counters());
        let state = State {
            context,
            image: Image::default(),
            retained_upstreams: HashMap::new(),
            era: watch::Sender::new(Era::default()),
            is_told: false,
            restored: None,
            withheld_upstreams: HashMap::new(),
            logged_overruled: BTreeSet::new(),
            logged_unreadable: HashMap::new(),
            failed_topics: HashMap::new(),
            is_store_unavailable: false,
            store_recovered: None,
            reported_recovery: None,
            last_store_response: time::Moment::default(),
            last_store_contact: time::Moment::default(),
            store_contact_resumed: None,
            last_eviction: time::Moment::default(),
            last_counts: time::Moment::default(),
            last_pins: time::Moment::default(),
            last_rate_limits: time::Moment::default(),
            last_request: time::Moment::default(),
            quarantine_requests: quarantine::Requests::default(),
            quarantine_repeats: Vec::new(),
            requests: peer_requests::PeerRequests::default(),
            configuration_encodings: Encodings::default(),
            configuration_fetch: Fetch::default(),
            panics: 0,
            lag: lag::Lag::default(),
            upstream_encodings: Encodings::default(),
            upstream_fetch: None,
            writes: writes::Writes::default(),
            loads: loads::Loads::default(),
            last_heartbeat_received: time::Moment::default(),
            last_heartbeat_sent: time::Moment::default(),
            unlisted: HashMap::new(),
            breaker: Breaker::default(),
            senders_version: Version::default(),
            has_members: false,
            is_unlisted: watch::Sender::new(false),
            follows: watch::Sender::new(false),
            follows_members: watch::Sender::new(true),
            follows_progress: watch::Sender::new(false),
        };
        for topic in [
            Topic::Operators,
            Topic::Upstreams,
            Topic::Members,
            Topic::Progress,
        ] {
            let wanted = match topic {
                Topic::Members => state.follows_members.subscribe(),
                Topic::Progress => state.follows_progress.subscribe(),
                Topic::Operators | Topic::Upstreams => state.follows.subscribe(),
            };
            let follower = Follower {
                store: state.context.store.clone(),
                topic,
                controller: myself.clone(),
                metrics: state.context.shared.metrics.clone(),
                breaker: state.breaker.clone(),
                leave: state.context.shared.settings.load().leave,
                era: state.era.subscribe(),
            };
            tokio::spawn(follower.run(wanted));
        }
        tokio::spawn(periodic::register(
            state.context.store.clone(),
            state.context.own.clone(),
            state.context.shared.clone(),
            state.is_unlisted.subscribe(),
        ));
        if let Some(facts) = state.context.shared.quarantine.take_outgoing() {
            tokio::spawn(quarantine::forward(facts, myself.clone()));
        }
        let shared = state.context.shared.clone();
        tokio::spawn(rejections::forward(shared, myself.clone()));
        myself.send_interval(TICK, || Command::Tick(Instant::now()));
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Command>,
        command: Command,
        state: &mut State<C, S>,
    ) -> Result<(), ActorProcessingErr> {
        // A panic would end the actor, and the VM would serve on without hearing of any change.
        let handled = catch_unwind(AssertUnwindSafe(|| state.handle(&myself, command)));
        if handled.is_err() {
            state.record_panic();
        }
        Ok(())
    }
}

impl<C: Codec, S: Store> State<C, S> {
    fn handle(&mut self, myself: &ActorRef<Command>, command: Command) {
        match command {
            Command::PageRead {
                topic,
                page,
                is_full,
            } => {
                self.apply_page(topic, *page, is_full);
                self.request_from_watcher(myself);
                self.advance_rollouts(myself);
            }
            Command::StoreFailed { topic, error } => self.record_store_failure(topic, &error),
            Command::PeerMessage(incoming) => self.handle_peer_message(myself, *incoming),
            Command::PeerRequestDone {
                peer,
                took,
                response,
            } => {
                self.handle_peer_response(myself, &peer, took, response);
            }
            Command::CrashFacts(notifications) => self.share_crash_facts(notifications),
            Command::Rejections => self.share_rejections(),
            Command::WritesDone(results) => self.handle_write_results(myself, &results),
            Command::Tick(sent) => {
                self.record_queue_time(sent.elapsed());
                self.tick(myself);
            }
        }
    }

    /// Logs a panic while a command was handled; less and less often if it recurs.
    fn record_panic(&mut self) {
        self.context.shared.metrics.peers.panics.inc();
        self.panics += 1;
        if self.panics.is_power_of_two() {
            log::error!(panics = self.panics; "the control thread dropped a command that it could not handle");
        }
    }

    pub(super) fn now(&self) -> time::Moment {
        self.context.shared.clock.now()
    }
}
