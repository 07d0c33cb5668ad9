//! The control thread of a gateway.
//!
//! An actor keeps the [`Image`] of the store's tables. Followers bring it the
//! store's news; while those fail it asks peers, which have the same tables, and
//! a copy with a newer version counts whoever brings it. Each change publishes a
//! new view to the traffic thread.

mod belief;
mod changes;
mod duties;
mod peers;
mod questions;
mod writes;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::directory::{
    Configuration, Editions, Fetch, Image, Member, Upstream, Version,
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

/// Time between looks at what is due.
const TICK: Duration = Duration::from_millis(125);

/// What the keeper starts with.
pub struct Parts<C: Codec, S> {
    /// What it shares with traffic.
    pub shared: Arc<Shared<C>>,
    /// The store.
    pub store: S,
    /// Links to peers.
    pub links: peer::Links,
    /// This VM, as it lists itself.
    pub own: Member,
}

/// Keeps the image of the store's tables.
pub struct Keeper<C: Codec, S>(std::marker::PhantomData<(C, S)>);

impl<C: Codec, S> Default for Keeper<C, S> {
    fn default() -> Self {
        Self(std::marker::PhantomData)
    }
}

/// State of the keeper.
pub struct State<C: Codec, S> {
    parts: Parts<C, S>,
    image: Image,
    /// Upstreams that are missing since an outage, and until when they are used.
    missing: HashMap<String, (Upstream, time::Moment)>,
    /// Rows that cannot be read and were told of, in the version that was told.
    unreadable: HashMap<(Topic, String), Version>,
    /// Topics on which the store does not answer.
    lost: HashMap<Topic, time::Moment>,
    /// Whether a call to the store failed and none has been answered since.
    is_away: bool,
    /// When the store last came back.
    returned: Option<time::Moment>,
    /// When the store last answered.
    answered: time::Moment,
    /// When the store last answered, or a peer that hears from it last said so.
    heard: time::Moment,
    /// When such word last came after a time without any.
    resumed: Option<time::Moment>,
    swept: time::Moment,
    shared_evidence: time::Moment,
    asked: time::Moment,
    questions: questions::Questions,
    /// The configuration, as peers fetch it.
    configuration_editions: Editions,
    /// What is fetched of a newer one.
    configuration_fetch: Fetch<Configuration>,
    /// The upstreams, as peers fetch them.
    upstream_editions: Editions,
    /// What is fetched of them, while this VM lacks too many for a message.
    upstream_fetch: Option<Fetch<Upstream>>,
    writes: writes::Writes,
    loads: loads::Loads,
    /// When a VM of the zone last said that it hears from the store.
    fresh: time::Moment,
    told: time::Moment,
    /// VMs of the zone that asked and are not on the list yet.
    unlisted: HashMap<id::Vm, (Member, time::Moment)>,
    breaker: Breaker,
    /// Version of the list of VMs by which those are drawn that send to cold upstreams.
    senders_as_of: Version,
    /// Whether the list of VMs has been read, by this VM or a peer.
    knows_members: bool,
    /// Whether the list of VMs says that this one is to be written to it.
    is_unlisted: watch::Sender<bool>,
    follows: watch::Sender<bool>,
    follows_members: watch::Sender<bool>,
    follows_progress: watch::Sender<bool>,
}

impl<C: Codec, S: Store> Actor for Keeper<C, S> {
    type Msg = Command;
    type State = State<C, S>;
    type Arguments = Parts<C, S>;

    async fn pre_start(
        &self,
        myself: ActorRef<Command>,
        parts: Parts<C, S>,
    ) -> Result<State<C, S>, ActorProcessingErr> {
        parts.shared.metrics.show_links(parts.links.counters());
        let state = State {
            parts,
            image: Image::default(),
            missing: HashMap::new(),
            unreadable: HashMap::new(),
            lost: HashMap::new(),
            is_away: false,
            returned: None,
            answered: time::Moment::default(),
            heard: time::Moment::default(),
            resumed: None,
            swept: time::Moment::default(),
            shared_evidence: time::Moment::default(),
            asked: time::Moment::default(),
            questions: questions::Questions::default(),
            configuration_editions: Editions::default(),
            configuration_fetch: Fetch::default(),
            upstream_editions: Editions::default(),
            upstream_fetch: None,
            writes: writes::Writes::default(),
            loads: loads::Loads::default(),
            fresh: time::Moment::default(),
            told: time::Moment::default(),
            unlisted: HashMap::new(),
            breaker: Breaker::default(),
            senders_as_of: Version::default(),
            knows_members: false,
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
                store: state.parts.store.clone(),
                topic,
                keeper: myself.clone(),
                metrics: state.parts.shared.metrics.clone(),
                breaker: state.breaker.clone(),
                leave: state.parts.shared.settings.load().leave,
            };
            tokio::spawn(follower.run(wanted));
        }
        tokio::spawn(duties::announce(
            state.parts.store.clone(),
            state.parts.own.clone(),
            state.is_unlisted.subscribe(),
        ));
        myself.send_interval(TICK, || Command::Tick);
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Command>,
        command: Command,
        state: &mut State<C, S>,
    ) -> Result<(), ActorProcessingErr> {
        match command {
            Command::Learned { topic, page, whole } => {
                state.learn(topic, *page, whole);
                state.ask_a_watcher(&myself);
                state.drive_rollouts(&myself);
            }
            Command::Lost { topic, error } => state.lose(topic, &error),
            Command::Peer(incoming) => state.hear(&myself, *incoming),
            Command::Answered { peer, took, answer } => {
                state.take_answer(&myself, &peer, took, answer);
            }
            Command::Written(ended) => state.note_written(&myself, &ended),
            Command::Tick => state.tick(&myself),
        }
        Ok(())
    }
}

impl<C: Codec, S: Store> State<C, S> {
    pub(super) fn now(&self) -> time::Moment {
        self.parts.shared.clock.now()
    }
}
