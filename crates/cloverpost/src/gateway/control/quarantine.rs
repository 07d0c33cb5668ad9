//! Exchange of evidence against requests that crash upstreams.
//!
//! A VM reports its crashes to the watchers of all availability zones, which add up the reports. A
//! watcher tells its zone only which requests are quarantined or released: the loss of many
//! upstreams at once ends many requests, and reporting each of them to every VM would need a
//! number of messages that grows with the square of the fleet.
//!
//! Facts go one way, from the VM that saw the crash to watchers and from these to their zones. No
//! message of facts is answered by one, so each crash causes a bounded number of messages: one of
//! each VM that had requests there to each watcher, and one of each watcher to each VM of its zone
//! for each change of a quarantine, which is repeated twice.
//!
//! A VM that has just started, or that was out of touch, asks watchers for what is quarantined. Only
//! such a request is answered with facts.

use std::collections::BTreeSet;
use std::time::Duration;

use cloverpost_core::directory::Member;
use cloverpost_core::poison::{Fact, Feature};
use cloverpost_core::time;
use cloverpost_wire::Message;
use ractor::ActorRef;
use rand::seq::IteratorRandom;
use tokio::sync::mpsc;

use crate::gateway::codec::Codec;
use crate::gateway::command::Command;
use crate::gateway::control::State;
use crate::gateway::control::peers::target;
use crate::gateway::crashes;
use crate::gateway::store::Store;
use crate::peer;
use crate::quarantine::{self, Change};

/// Maximum number of notifications sent at once. The crash of an upstream ends all its requests of a
/// VM at the same time.
const MAX_BATCH: usize = 64;
/// Maximum number of facts in a message, at about 90 bytes each.
const MAX_FACTS: usize = 200;
/// Delays after which a watcher repeats a change to its zone. Messages to a busy VM may be lost.
const REPEAT_DELAYS: [Duration; 2] = [Duration::from_millis(400), Duration::from_millis(1_200)];
/// Answers that a VM that has just started waits for. One of the watchers may have started as well.
const ANSWERS_AT_START: usize = 2;
/// Interval between requests for what is quarantined.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of the periodic task after which the process was suspended and may have missed news.
const MAX_TASK_INTERVAL: Duration = Duration::from_secs(1);

/// A change of a quarantine that a watcher is to repeat.
#[derive(Clone, Copy, Debug)]
pub struct Repeat {
    at: time::Moment,
    feature: Feature,
    /// Whether the quarantine has settled by then.
    confirms: bool,
}

/// Requests for what is quarantined.
#[derive(Clone, Copy, Debug)]
pub struct Requests {
    /// Answers still needed.
    needed: usize,
    last_sent: time::Moment,
    last_check: time::Moment,
}

impl Requests {
    /// Requires one more answer, since this VM may have missed news.
    pub(super) fn require_answer(&mut self) {
        self.needed = self.needed.max(1);
    }
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            needed: ANSWERS_AT_START,
            last_sent: time::Moment::default(),
            last_check: time::Moment::default(),
        }
    }
}

/// Forwards facts of this VM to the control actor until either side is gone.
pub async fn forward(
    mut facts: mpsc::Receiver<quarantine::Notification>,
    controller: ActorRef<Command>,
) {
    loop {
        let mut batch = Vec::new();
        if facts.recv_many(&mut batch, MAX_BATCH).await == 0
            || controller.cast(Command::CrashFacts(batch)).is_err()
        {
            return;
        }
    }
}

impl<C: Codec, S: Store> State<C, S> {
    /// Sends facts of this VM to the watchers, and what they change to the availability zone.
    pub(super) fn share_crash_facts(&mut self, notifications: Vec<quarantine::Notification>) {
        let (mut facts, mut changes, mut waiting) = (Vec::new(), Vec::new(), Vec::new());
        for notification in notifications {
            facts.extend(notification.facts);
            changes.extend(notification.changes);
            waiting.push(notification.done);
        }
        let own = &self.context.own;
        let watchers = self.image.members.watchers().into_iter();
        let others: Vec<_> = watchers.filter(|watcher| watcher.vm != own.vm).collect();
        self.send_facts(&others, &facts);
        self.forward_changes(&changes);
        for done in waiting {
            // The receiver is gone if its wait timed out.
            let _ = done.send(());
        }
    }

    /// Merges facts of another VM. A watcher forwards what they change to its zone.
    ///
    /// Marks of parts with which requests succeed on this VM are left out. If there are enough of them
    /// for a quarantine, another VM does not know of the successes, and all evidence is dismissed.
    pub(super) fn merge_crash_facts(&mut self, facts: Vec<Fact>) {
        let shared = &self.context.shared;
        let (wrong, facts): (Vec<_>, Vec<_>) = { facts.into_iter() }.partition(
            |fact| matches!(fact, Fact::Mark(mark) if crashes::is_sound(shared, &mark.feature)),
        );
        let changes = shared.quarantine.merge(facts, self.now());
        self.forward_changes(&changes);
        crashes::dismiss_wrong(&self.context.shared, wrong);
    }

    /// Counts `changes`. A watcher sends all facts about the features to its zone, and repeats them
    /// later.
    fn forward_changes(&mut self, changes: &[Change]) {
        let shared = &self.context.shared;
        for change in changes {
            let counter = &shared.metrics.peers.quarantine_changes;
            counter.with_label_values(&[change.as_str()]).inc();
        }
        if !self.is_watcher() {
            return;
        }
        let now = self.now();
        let features: BTreeSet<_> = changes.iter().map(Change::feature).copied().collect();
        self.tell_zone(&features);
        for delay in REPEAT_DELAYS {
            let is_last = Some(&delay) == REPEAT_DELAYS.last();
            let repeats = features.iter().map(|feature| Repeat {
                at: now + delay,
                feature: *feature,
                // Requests in flight beside many poison ones take longer to be told from them.
                confirms: is_last || matches!(feature, Feature::Part(_)),
            });
            self.quarantine_repeats.extend(repeats);
        }
    }

    /// Repeats the changes that are due to the availability zone, and to the watchers of the others,
    /// which may have missed reports. By then they have settled.
    pub(super) fn repeat_quarantined(&mut self) {
        let now = self.now();
        let is_due = |repeat: &mut Repeat| repeat.at <= now;
        let repeats: Vec<_> = self.quarantine_repeats.extract_if(.., is_due).collect();
        let due: BTreeSet<_> = repeats.iter().map(|repeat| repeat.feature).collect();
        if due.is_empty() {
            return;
        }
        let quarantine = &self.context.shared.quarantine;
        for repeat in repeats.iter().filter(|repeat| repeat.confirms) {
            quarantine.confirm(&repeat.feature, now);
        }
        self.tell_zone(&due);
        let facts: Vec<_> = { due.iter() }
            .flat_map(|feature| quarantine.facts_of(feature, now))
            .collect();
        let own = &self.context.own;
        let watchers = self.image.members.watchers().into_iter();
        let others = watchers.filter(|watcher| watcher.zone != own.zone);
        self.send_facts(&others.collect::<Vec<_>>(), &facts);
    }

    /// Sends all facts about `features` to the VMs of this availability zone.
    fn tell_zone(&self, features: &BTreeSet<Feature>) {
        let now = self.now();
        let quarantine = &self.context.shared.quarantine;
        let facts = features.iter();
        let facts: Vec<_> = facts
            .flat_map(|feature| quarantine.facts_of(feature, now))
            .collect();
        let own = &self.context.own;
        let members = self.image.members.rows.values().map(|row| &row.value);
        let zone = members.filter(|member| member.zone == own.zone && member.vm != own.vm);
        self.send_facts(&zone.collect::<Vec<_>>(), &facts);
    }

    fn send_facts(&self, members: &[&Member], facts: &[Fact]) {
        for part in facts.chunks(MAX_FACTS) {
            let message = Message::Poison(part.to_vec());
            for member in members {
                self.send(&target(member), &message);
            }
        }
    }

    /// Asks a watcher for what is quarantined, if this VM may lack it.
    pub(super) fn request_quarantined(&mut self, myself: &ActorRef<Command>) {
        let now = self.now();
        let requests = &mut self.quarantine_requests;
        if now.since(requests.last_check) > MAX_TASK_INTERVAL {
            requests.require_answer();
        }
        requests.last_check = now;
        if requests.needed == 0 || now.since(requests.last_sent) < REQUEST_INTERVAL {
            return;
        }
        let own = &self.context.own.vm;
        let watchers = self.image.members.watchers().into_iter();
        let others = watchers.filter(|watcher| watcher.vm != *own);
        let Some(peer) = others.choose(&mut rand::rng()).cloned() else {
            return;
        };
        self.quarantine_requests.last_sent = now;
        self.send_request(myself, &peer, Message::Poison(Vec::new()));
    }

    /// Merges the answer to a request for what is quarantined.
    pub(super) fn handle_quarantined(&mut self, facts: Vec<Fact>) {
        let needed = &mut self.quarantine_requests.needed;
        *needed = needed.saturating_sub(1);
        self.merge_crash_facts(facts);
    }

    pub(super) fn reply_with_quarantined(&self, reply: peer::Reply) {
        let quarantine = &self.context.shared.quarantine;
        let mut facts = quarantine.quarantined_facts(self.now());
        facts.truncate(MAX_FACTS);
        self.send_reply(reply, Message::Poison(facts));
    }

    pub(super) fn is_watcher(&self) -> bool {
        self.image.members.is_watcher(&self.context.own)
    }
}
