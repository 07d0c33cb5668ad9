//! Quarantine of requests that crash upstreams.

mod change;
mod notification;

pub use change::Change;
pub use notification::Notification;

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use cloverpost_core::poison::{
    Action, Evidence, Fact, Feature, Options, Profile, Register, Status,
};
use cloverpost_core::time;
use tokio::sync::{mpsc, oneshot};

/// Maximum number of notifications queued for peers.
const QUEUE_CAPACITY: usize = 256;
/// Maximum time to wait for peers to be notified of a crash.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(500);

/// This VM's register of crashing requests; clones share it.
#[derive(Clone, Debug)]
pub struct Quarantine {
    register: Arc<Mutex<Register>>,
    sender: mpsc::Sender<Notification>,
    receiver: Arc<Mutex<Option<mpsc::Receiver<Notification>>>>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::new()
    }
}

impl Quarantine {
    /// Creates an empty register with default options.
    #[must_use]
    pub fn new() -> Self {
        Self::with_options(Options::default())
    }

    /// Creates an empty register.
    #[must_use]
    pub fn with_options(options: Options) -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        Self {
            register: Arc::new(Mutex::new(Register::new(options))),
            sender,
            receiver: Arc::new(Mutex::new(Some(receiver))),
        }
    }

    /// The queue of facts to send to every peer. Returns `None` after the first call.
    #[must_use]
    pub fn take_outgoing(&self) -> Option<mpsc::Receiver<Notification>> {
        self.receiver.lock().ok()?.take()
    }

    /// Whether requests with the feature are quarantined.
    #[must_use]
    pub fn is_quarantined(&self, feature: impl Into<Feature>, now: time::Moment) -> bool {
        self.register().status(&feature.into(), now) == Status::Quarantined
    }

    /// Whether there is no evidence against any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.register().is_empty()
    }

    /// The feature of `profile` with the most serious status.
    #[must_use]
    pub fn worst(&self, profile: &Profile, now: time::Moment) -> (Feature, Status) {
        self.register().worst(profile, now)
    }

    /// Status of requests with the feature.
    #[must_use]
    pub fn status(&self, feature: &Feature, now: time::Moment) -> Status {
        self.register().status(feature, now)
    }

    /// Remaining time of the feature's quarantine; `None` without one.
    #[must_use]
    pub fn remaining(&self, feature: &Feature, now: time::Moment) -> Option<Duration> {
        self.register().remaining(feature, now)
    }

    /// Time since there was news of the feature; `None` without any.
    #[must_use]
    pub fn time_since_news(&self, feature: &Feature, now: time::Moment) -> Option<Duration> {
        self.register().time_since_news(feature, now)
    }

    /// Records a crash as evidence against some features and waits until the peers have been
    /// notified.
    ///
    /// Without the wait, the request could be retried on several VMs and crash an
    /// upstream on each before any VM has counted enough crashes. The wait is bounded:
    /// an unreachable peer learns of the crash from a later digest.
    pub async fn record_crash(&self, evidence: Vec<(Feature, Evidence)>, now: time::Moment) {
        let actions = {
            let mut register = self.register();
            let evidence = evidence.into_iter();
            let actions = evidence
                .flat_map(|(feature, evidence)| register.record_crash(feature, evidence, now));
            actions.collect()
        };
        self.apply(actions).await;
    }

    /// Dismisses the evidence against some features and waits until the peers have been notified.
    pub async fn lift(&self, features: Vec<Feature>, now: time::Moment) {
        let actions = {
            let mut register = self.register();
            let features = features.into_iter();
            let actions = features.flat_map(|feature| register.lift(feature, now));
            actions.collect()
        };
        self.apply(actions).await;
    }

    async fn apply(&self, actions: Vec<Action>) {
        let (mut facts, mut changes) = (Vec::new(), Vec::new());
        for action in actions {
            match action {
                Action::Broadcast(fact) => facts.push(fact),
                Action::Confirmed(feature) => changes.push(Change::Confirmed(feature)),
                Action::Quarantined(feature) => {
                    log::warn!("quarantined request with {feature}");
                    changes.push(Change::Quarantined(feature));
                }
                Action::Released(feature) => {
                    log::info!("released request with {feature} from quarantine");
                    changes.push(Change::Released(feature));
                }
            }
        }
        if !facts.is_empty() {
            self.notify_peers(facts, changes).await;
        }
    }

    /// Merges facts received from a peer. Returns what they changed for quarantined features.
    #[must_use]
    pub fn merge(&self, facts: Vec<Fact>, now: time::Moment) -> Vec<Change> {
        let mut register = self.register();
        let actions = facts.into_iter().flat_map(|fact| register.merge(fact, now));
        let changes = actions.filter_map(|action| match action {
            Action::Quarantined(feature) => {
                log::warn!("quarantined request with {feature} after a report from a peer");
                Some(Change::Quarantined(feature))
            }
            Action::Confirmed(feature) => Some(Change::Confirmed(feature)),
            Action::Released(feature) => {
                log::info!("released request with {feature} after a report from a peer");
                Some(Change::Released(feature))
            }
            // Facts of peers are not broadcast again.
            Action::Broadcast(_) => None,
        });
        changes.collect()
    }

    /// Confirms the quarantine of a part that has settled.
    pub fn confirm(&self, feature: &Feature, now: time::Moment) {
        self.register().confirm(feature, now);
    }

    /// Facts about a feature that are still in effect.
    #[must_use]
    pub fn facts_of(&self, feature: &Feature, now: time::Moment) -> Vec<Fact> {
        self.register().facts_of(feature, now).collect()
    }

    /// Facts about quarantined features, for a peer that has just started.
    #[must_use]
    pub fn quarantined_facts(&self, now: time::Moment) -> Vec<Fact> {
        self.register().quarantined_facts(now).collect()
    }

    /// Every fact still in effect, for a peer that may have missed some.
    #[must_use]
    pub fn facts(&self, now: time::Moment) -> Vec<Fact> {
        self.register().facts(now).collect()
    }

    /// Removes records that expired so long ago that no peer still has them in effect.
    pub fn prune(&self, now: time::Moment) {
        self.register().prune(now);
    }

    async fn notify_peers(&self, facts: Vec<Fact>, changes: Vec<Change>) {
        let (done, notified) = oneshot::channel();
        let notification = Notification {
            facts,
            changes,
            done,
        };
        if self.sender.try_send(notification).is_ok() {
            // A closed channel means that there are no peers to notify.
            let _ = tokio::time::timeout(NOTIFY_TIMEOUT, notified).await;
        }
    }

    fn register(&self) -> MutexGuard<'_, Register> {
        // The register stays consistent if a holder of the lock panicked.
        self.register
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
