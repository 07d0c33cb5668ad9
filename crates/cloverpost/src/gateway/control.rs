//! The control thread of a gateway.
//!
//! An actor keeps the [`Image`] of the store's tables. Followers bring it the
//! store's news; while those fail it asks peers, which have the same tables, and
//! a copy with a newer version counts whoever brings it. Each change publishes a
//! new view to the traffic thread.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::directory::{Image, Member, Page, Upstream, Versions, View};
use cloverpost_core::{directory, exposure, id, time};
use cloverpost_wire::Message;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::watch;

use crate::gateway::codec::Codec;
use crate::gateway::store::{Error, Store, Topic};
use crate::gateway::{Shared, follow, loads, rollouts};
use crate::peer;

/// Time between looks at what is due.
const TICK: Duration = Duration::from_millis(125);
/// Time after the store's return in which upstreams that are missing from it are
/// still used. Their entries lapse while the store is away; those that live are
/// back within about two seconds.
const RETURN_GRACE: Duration = Duration::from_millis(2200);
/// Peers that are told of a change by each VM. With three of five, one that
/// hears nothing from the store is missed by all once in a hundred changes, and
/// it asks by itself a moment later.
const TOLD: usize = 3;
/// Time between questions to peers while the store does not answer.
const ASK: Duration = Duration::from_millis(250);
/// Time between a watcher's messages to the VMs that listen to it.
const TELL: Duration = Duration::from_millis(350);
/// Least time between them while tables change; each may bring a table's worth of
/// bytes to every listener.
const TELL_LEAST: Duration = Duration::from_millis(120);
/// Time without such a message after which a VM follows the store itself: three are
/// lost, and a change is still in force within two seconds.
const FRESH: Duration = Duration::from_millis(1200);
/// Time since the store's last answer within which a watcher counts as hearing from
/// it. Upstreams write about once a second, and each write is an answer.
const HEARS: Duration = Duration::from_millis(1800);
/// Time between checks of connections to upstreams.
const SWEEP: Duration = Duration::from_secs(2);
/// Time between messages to the VMs that judge a roll-out; its last stage lasts a
/// second, in which they must see what it shows.
const EVIDENCE: Duration = Duration::from_millis(200);
/// Time without news from the store after which peers are asked.
const STALE: Duration = Duration::from_secs(4);

/// What the keeper is told.
#[derive(Debug)]
pub enum Command {
    /// The store answered.
    Learned {
        /// About what.
        topic: Topic,
        /// With which rows.
        page: Box<Page>,
        /// Whether they are the whole table.
        whole: bool,
    },
    /// The store did not answer.
    Lost {
        /// About what.
        topic: Topic,
        /// Why not.
        error: Error,
    },
    /// A peer sent something.
    Peer(Box<peer::Incoming>),
    /// A peer answered a question.
    Told(Box<Image>),
    /// A write ended.
    Written,
    /// Time has passed.
    Tick,
}

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
    /// Topics on which the store does not answer.
    lost: HashMap<Topic, time::Moment>,
    /// When the store last came back.
    returned: Option<time::Moment>,
    heard: time::Moment,
    swept: time::Moment,
    shared_evidence: time::Moment,
    asked: time::Moment,
    is_writing: bool,
    /// Versions in which the tables last changed.
    changed: Versions,
    loads: loads::Loads,
    /// When a peer last said that it hears from the store.
    fresh: Option<time::Moment>,
    told: time::Moment,
    follows: watch::Sender<bool>,
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
        let state = State {
            parts,
            image: Image::default(),
            missing: HashMap::new(),
            lost: HashMap::new(),
            returned: None,
            heard: time::Moment::default(),
            swept: time::Moment::default(),
            shared_evidence: time::Moment::default(),
            asked: time::Moment::default(),
            is_writing: false,
            changed: Versions::default(),
            loads: loads::Loads::default(),
            fresh: None,
            told: time::Moment::default(),
            follows: watch::Sender::new(true),
            follows_progress: watch::Sender::new(false),
        };
        for topic in [
            Topic::Operators,
            Topic::Upstreams,
            Topic::Members,
            Topic::Progress,
        ] {
            let wanted = match topic {
                Topic::Progress => state.follows_progress.subscribe(),
                _ => state.follows.subscribe(),
            };
            let metrics = state.parts.shared.metrics.clone();
            let store = state.parts.store.clone();
            tokio::spawn(follow::run(store, topic, myself.clone(), metrics, wanted));
        }
        tokio::spawn(announce(state.parts.store.clone(), state.parts.own.clone()));
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
                state.drive_rollouts(&myself);
            }
            Command::Lost { topic, error } => state.lose(topic, &error),
            Command::Peer(incoming) => state.hear(&myself, *incoming),
            Command::Told(image) => state.merge(*image),
            Command::Written => state.is_writing = false,
            Command::Tick => state.tick(&myself),
        }
        Ok(())
    }
}

impl<C: Codec, S: Store> State<C, S> {
    fn now(&self) -> time::Moment {
        self.parts.shared.clock.now()
    }

    fn learn(&mut self, topic: Topic, page: Page, whole: bool) {
        let now = self.now();
        self.heard = now;
        self.parts.shared.set_store_now_ms(page.now_ms);
        if let Some(since) = self.lost.remove(&topic) {
            let away_ms = u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX);
            log::info!(topic = topic.as_str(), away_ms; "the store answers again");
            self.returned = Some(now);
        }
        let before = self.image.upstreams.clone();
        let changed = if whole {
            self.image.replace(page)
        } else {
            self.image.apply(page)
        };
        if topic == Topic::Upstreams {
            self.note_missing(&before, now);
        }
        if changed {
            self.changed = self.image.versions();
            self.publish();
            if topic == Topic::Operators {
                self.tell_peers();
            }
            self.tell_listeners();
        }
    }

    /// Remembers upstreams whose entries lapsed while the store was away.
    fn note_missing(&mut self, before: &directory::Table<Upstream>, now: time::Moment) {
        let rows = &self.image.upstreams.rows;
        self.missing.retain(|key, _| !rows.contains_key(key));
        let Some(returned) = self.returned else {
            return;
        };
        let until = returned + RETURN_GRACE;
        if now >= until {
            return;
        }
        for (key, row) in &before.rows {
            if !rows.contains_key(key) && !row.value.is_leaving {
                self.missing.insert(key.clone(), (row.value.clone(), until));
            }
        }
    }

    fn lose(&mut self, topic: Topic, error: &Error) {
        let now = self.now();
        if self.lost.insert(topic, now).is_none() {
            log::warn!(topic = topic.as_str(), why:% = error; "the store does not answer");
        } else if let Some(since) = self.lost.get_mut(&topic) {
            *since = now;
        }
    }

    fn merge(&mut self, image: Image) {
        let before = self.image.versions();
        let upstreams = self.image.upstreams.clone();
        if self.image.merge(image) {
            self.note_missing(&upstreams, self.now());
            self.changed = self.image.versions();
            self.parts.shared.metrics.told_by_peers.inc();
            let after = self.image.versions();
            log::info!(before:? = before, after:? = after; "took newer tables from a peer");
            self.publish();
        }
    }

    /// Publishes a view of what is believed now.
    fn publish(&mut self) {
        let shared = &self.parts.shared;
        let last = shared.view.load_full();
        let missing: Vec<_> = self.missing.values().map(|(one, _)| one).collect();
        let view = View::new(&self.image, &missing, &last);
        note_changes(&last, &view);
        let upstreams: usize = view.pools.values().map(|pool| pool.upstreams.len()).sum();
        shared
            .metrics
            .upstreams
            .set(i64::try_from(upstreams).unwrap_or(i64::MAX));
        let number = view.index.as_ref().map_or(0, |index| index.number());
        shared
            .metrics
            .configuration
            .set(i64::try_from(number).unwrap_or(i64::MAX));
        shared.view.store(Arc::new(view));
        let vms = u32::try_from(self.image.members.rows.len()).unwrap_or(u32::MAX);
        shared.split_budget(vms);
        self.choose_to_follow();
    }

    /// Follows the store, or leaves that to VMs of the same availability zone for as
    /// long as they say that they hear from it.
    fn choose_to_follow(&self) {
        let own = &self.parts.own;
        let is_watcher = self.image.members.is_watcher(&own.vm, &own.zone);
        let now = self.now();
        let is_told = self.fresh.is_some_and(|fresh| now.since(fresh) < FRESH);
        let follows = is_watcher || !is_told;
        let open = follows && rollouts::are_open(&self.image);
        if set(&self.follows, follows) {
            log::info!(follows, is_watcher; "following the store changes");
        }
        set(&self.follows_progress, open);
    }

    fn share_loads(&mut self) {
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
    fn tell_listeners(&mut self) {
        let own = &self.parts.own;
        let now = self.now();
        let hears = self.lost.is_empty() && now.since(self.heard) < HEARS;
        let is_watcher = self.image.members.is_watcher(&own.vm, &own.zone);
        if !hears || !is_watcher || now.since(self.told) < TELL_LEAST {
            return;
        }
        self.told = now;
        let fresh = Message::Directory(directory::Message::Fresh(self.changed));
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

    fn tick(&mut self, myself: &ActorRef<Command>) {
        let now = self.now();
        let known = self.missing.len();
        self.missing.retain(|_, (_, until)| now < *until);
        if self.missing.len() != known {
            self.publish();
        }
        let is_stale = now.since(self.heard) > STALE;
        let asks = is_stale || !self.lost.is_empty();
        if asks && now.since(self.asked) > ASK {
            self.asked = now;
            self.ask_a_peer(myself);
        }
        self.share_loads();
        self.choose_to_follow();
        if now.since(self.told) > TELL {
            self.tell_listeners();
        }
        if now.since(self.swept) > SWEEP {
            self.swept = now;
            let view = self.parts.shared.view.load();
            self.parts.shared.pool.sweep(&view);
            self.parts.shared.balance().retain(&view);
        }
        self.parts
            .shared
            .metrics
            .ready
            .set(i64::from(self.parts.shared.is_ready()));
        if now.since(self.shared_evidence) > EVIDENCE {
            self.shared_evidence = now;
            self.share_evidence();
        }
        self.drive_rollouts(myself);
    }

    fn weigh(&self, from: id::Vm, message: exposure::Message) {
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
    fn share_evidence(&self) {
        let open = rollouts::under_way(&self.image);
        self.parts.shared.evidence().retain(&open);
        self.parts
            .shared
            .pins()
            .retain(|rollout| open.contains(rollout));
        for rollout in open {
            self.share_evidence_on(&rollout);
        }
    }

    fn share_evidence_on(&self, rollout: &(id::Pool, directory::Version)) {
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

    fn send(&self, target: &peer::Target, message: &Message) {
        if let Err(error) = self.parts.links.send(target, message) {
            log::debug!(peer:% = target, why:% = error; "a peer was not told");
        }
    }

    fn drive_rollouts(&mut self, myself: &ActorRef<Command>) {
        if self.is_writing || self.lost.contains_key(&Topic::Operators) {
            return;
        }
        let steps = rollouts::steps(&self.parts.shared, &self.image);
        if steps.is_empty() {
            return;
        }
        self.is_writing = true;
        let store = self.parts.store.clone();
        let keeper = myself.clone();
        tokio::spawn(async move {
            for step in steps {
                write(&store, &step).await;
            }
            // The keeper is gone only while the process ends.
            let _ = keeper.cast(Command::Written);
        });
    }

    fn hear(&mut self, myself: &ActorRef<Command>, incoming: peer::Incoming) {
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
                let newer = Box::new(self.image.newer_than(&versions));
                incoming
                    .reply
                    .send(Message::Directory(directory::Message::Tell(newer)));
            }
            directory::Message::Tell(image) => self.merge(*image),
        }
    }

    fn others(&self) -> Vec<peer::Target> {
        let members = self.image.members.rows.values();
        members
            .filter(|row| row.value.vm != self.parts.own.vm)
            .map(|row| peer::Target {
                vm: row.value.vm.clone(),
                address: row.value.address,
            })
            .collect()
    }

    fn tell_peers(&self) {
        let mut others = self.others();
        let have = Message::Directory(directory::Message::Have(self.image.versions()));
        for _ in 0..TOLD.min(others.len()) {
            let target = others.swap_remove(rand::random_range(0..others.len()));
            self.send(&target, &have);
        }
    }

    fn ask_a_peer(&self, myself: &ActorRef<Command>) {
        let mut others = self.others();
        if others.is_empty() {
            return;
        }
        let target = others.swap_remove(rand::random_range(0..others.len()));
        self.ask(myself, target);
    }

    fn ask(&self, myself: &ActorRef<Command>, target: peer::Target) {
        let links = self.parts.links.clone();
        let ask = Message::Directory(directory::Message::Ask(self.image.versions()));
        let keeper = myself.clone();
        tokio::spawn(async move {
            match links.request(&target, &ask).await {
                Ok(Message::Directory(directory::Message::Tell(image))) => {
                    // The keeper is gone only while the process ends.
                    let _ = keeper.cast(Command::Told(image));
                }
                Ok(_) => log::warn!(peer:% = target; "a peer answered something else"),
                Err(error) => log::debug!(peer:% = target, why:% = error; "a peer did not answer"),
            }
        });
    }
}

/// Sets a switch; whether that changed it.
fn set(switch: &watch::Sender<bool>, on: bool) -> bool {
    switch.send_if_modified(|is_on| std::mem::replace(is_on, on) != on)
}

async fn write<S: Store>(store: &S, step: &rollouts::Step) {
    let progress = &step.progress;
    let result = store.write_progress(progress, step.expected).await;
    let outcome = result.map_or_else(|error| error.to_string(), |()| "written".to_owned());
    log::info!(
        service = progress.service.as_str(), target_version = progress.target.as_str(),
        state:? = progress.state, why = step.why, expected:% = step.expected, outcome = outcome.as_str();
        "roll-out moves on"
    );
}

/// Lists this VM, again and again until the store has taken it.
async fn announce<S: Store>(store: S, own: Member) {
    let mut pause = Duration::from_millis(200);
    while let Err(error) = store.announce(&own).await {
        log::debug!(why:% = error; "this VM is not listed yet");
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
        pause = (pause * 2).min(Duration::from_secs(2));
    }
}

fn note_changes(last: &View, view: &View) {
    let number = |view: &View| view.index.as_ref().map(|index| index.number());
    if number(last) != number(view) {
        log::info!(before:? = number(last), now:? = number(view); "configuration in force");
    }
    for (service, pool) in &view.pools {
        let before = last.pools.get(service);
        let allowed = before.map(|pool| &pool.allowed);
        if allowed != Some(&pool.allowed) {
            log::info!(service = service.as_str(), allowed:? = pool.allowed; "versions in use");
        }
        let is_in = |pool: &directory::Pool, id: &id::Upstream| {
            pool.upstreams.iter().any(|one| one.id == *id)
        };
        for upstream in &pool.upstreams {
            if !before.is_some_and(|before| is_in(before, &upstream.id)) {
                log::info!(
                    upstream = upstream.id.as_str(), service = service.as_str(),
                    version = upstream.version.as_str(), zone = upstream.zone.as_str();
                    "upstream takes work"
                );
            }
        }
    }
    for (service, pool) in &last.pools {
        for upstream in &pool.upstreams {
            let now = view.pools.get(service);
            if !now.is_some_and(|now| now.upstreams.iter().any(|one| one.id == upstream.id)) {
                log::info!(upstream = upstream.id.as_str(), service = service.as_str(); "upstream gets no more work");
            }
        }
    }
}
