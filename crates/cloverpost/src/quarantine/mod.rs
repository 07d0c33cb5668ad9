//! Quarantine of requests that crash upstreams.

mod change;
mod notification;

pub use change::Change;
pub use notification::Notification;

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use cloverpost_core::poison::{Action, Evidence, Fact, Fingerprint, Options, Register, Status};
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

    /// Whether the request is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: &Fingerprint, now: time::Moment) -> bool {
        self.register().status(fingerprint, now) == Status::Quarantined
    }

    /// Whether there is no evidence against any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.register().is_empty()
    }

    /// Status of the request.
    #[must_use]
    pub fn status(&self, fingerprint: &Fingerprint, now: time::Moment) -> Status {
        self.register().status(fingerprint, now)
    }

    /// Remaining time of the request's quarantine; `None` without one.
    #[must_use]
    pub fn remaining(&self, fingerprint: &Fingerprint, now: time::Moment) -> Option<Duration> {
        self.register().remaining(fingerprint, now)
    }

    /// Time since there was news of the request; `None` without any.
    #[must_use]
    pub fn time_since_news(
        &self,
        fingerprint: &Fingerprint,
        now: time::Moment,
    ) -> Option<Duration> {
        self.register().time_since_news(fingerprint, now)
    }

    /// Records a crash and waits until the peers have been notified.
    ///
    /// Without the wait, the request could be retried on several VMs and crash an
    /// upstream on each before any VM has counted enough crashes. The wait is bounded:
    /// an unreachable peer learns of the crash from a later digest.
    pub async fn record_crash(
        &self,
        fingerprint: Fingerprint,
        evidence: Evidence,
        now: time::Moment,
    ) {
        let actions = self.register().record_crash(fingerprint, evidence, now);
        self.apply(actions).await;
    }

    /// Dismisses the evidence against a request and waits until the peers have been notified.
    pub async fn lift(&self, fingerprint: Fingerprint, now: time::Moment) {
        let actions = self.register().lift(fingerprint, now);
        self.apply(actions).await;
    }

    async fn apply(&self, actions: Vec<Action>) {
        let (mut facts, mut changes) = (Vec::new(), Vec::new());
        for action in actions {
            match action {
                Action::Broadcast(fact) => facts.push(fact),
                Action::Confirmed(fingerprint) => changes.push(Change::Confirmed(fingerprint)),
                Action::Quarantined(fingerprint) => {
                    log::warn!("quarantined request with fingerprint {fingerprint}");
                    changes.push(Change::Quarantined(fingerprint));
                }
                Action::Released(fingerprint) => {
                    log::info!("released request with fingerprint {fingerprint} from quarantine");
                    changes.push(Change::Released(fingerprint));
                }
            }
        }
        if !facts.is_empty() {
            self.notify_peers(facts, changes).await;
        }
    }

    /// Merges facts received from a peer. Returns what they changed for quarantined requests.
    #[must_use]
    pub fn merge(&self, facts: Vec<Fact>, now: time::Moment) -> Vec<Change> {
        let mut register = self.register();
        let actions = facts.into_iter().flat_map(|fact| register.merge(fact, now));
        let changes = actions.filter_map(|action| match action {
            Action::Quarantined(fingerprint) => {
                log::warn!(
                    "quarantined request with fingerprint {fingerprint} after a report from a peer"
                );
                Some(Change::Quarantined(fingerprint))
            }
            Action::Confirmed(fingerprint) => Some(Change::Confirmed(fingerprint)),
            Action::Released(fingerprint) => {
                log::info!(
                    "released request with fingerprint {fingerprint} after a report from a peer"
                );
                Some(Change::Released(fingerprint))
            }
            // Facts of peers are not broadcast again.
            Action::Broadcast(_) => None,
        });
        changes.collect()
    }

    /// Facts about a request that are still in effect.
    #[must_use]
    pub fn facts_of(&self, fingerprint: &Fingerprint, now: time::Moment) -> Vec<Fact> {
        self.register().facts_of(fingerprint, now).collect()
    }

    /// Facts about quarantined requests, for a peer that has just started.
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
