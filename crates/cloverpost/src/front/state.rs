//! State shared by all requests of a VM.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cloverpost_core::{budget, session};
use sha2::Digest;
use tokio::sync::watch;

use crate::billing;
use crate::clock;
use crate::metrics;
use crate::overload;
use crate::plan;
use crate::quarantine;
use crate::settings;
use crate::snapshot;
use crate::upstream;

/// State shared by all requests of a VM; cheap to clone.
#[derive(Clone, Debug)]
pub struct State {
    /// Settings of the VM.
    pub settings: Arc<settings::Settings>,
    /// Current catalogue, upstreams and plan.
    pub snapshot: snapshot::Shared,
    /// HTTP client for upstreams.
    pub client: upstream::Client,
    /// Metrics of the VM.
    pub metrics: metrics::Metrics,
    /// Monotonic clock.
    pub clock: clock::Clock,
    /// Keys that seal session tokens.
    pub sessions: Arc<session::Keys>,
    /// Writes usage records to the store.
    pub billing: Arc<billing::Billing>,
    /// Quarantine of requests that crash upstreams.
    pub quarantine: quarantine::Quarantine,
    /// Sends responses to the rater.
    pub ratings: plan::Ratings,
    /// Queues of requests that wait for a slot on an upstream.
    pub overload: overload::Overload,
    /// Retry budget of each class.
    budget: Arc<Mutex<budget::Budget>>,
    shutdown: Arc<Shutdown>,
}

/// Progress of a graceful shutdown.
#[derive(Debug, Default)]
struct Shutdown {
    draining: AtomicBool,
    refusing: AtomicBool,
    ended: watch::Sender<bool>,
}

impl State {
    /// Creates the state of a VM that starts.
    #[must_use]
    pub fn new(
        settings: Arc<settings::Settings>,
        snapshot: snapshot::Shared,
        billing: billing::Billing,
    ) -> Self {
        let clock = clock::Clock::start();
        Self {
            sessions: Arc::new(session_keys(&settings.session_keys)),
            billing: Arc::new(billing),
            quarantine: quarantine::Quarantine::new(),
            ratings: plan::Ratings::new(rand::random()),
            overload: overload::Overload::new(clock),
            budget: Arc::new(Mutex::new(budget::Budget::new(budget::Options::default()))),
            settings,
            snapshot,
            client: upstream::Client::new(clock),
            metrics: metrics::Metrics::new(),
            clock,
            shutdown: Arc::new(Shutdown::default()),
        }
    }

    /// Locks the retry budget.
    pub fn budget(&self) -> MutexGuard<'_, budget::Budget> {
        // A panic of another thread leaves the budget consistent, so poisoning is ignored.
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a graceful shutdown: `/readyz` fails, so that load balancers stop sending requests.
    pub fn start_drain(&self) {
        self.shutdown.draining.store(true, Ordering::Release);
    }

    /// Whether a graceful shutdown has started.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.shutdown.draining.load(Ordering::Acquire)
    }

    /// Refuses all further requests.
    pub fn refuse_new(&self) {
        self.shutdown.refusing.store(true, Ordering::Release);
    }

    /// Whether new requests are refused.
    #[must_use]
    pub fn is_refusing(&self) -> bool {
        self.shutdown.refusing.load(Ordering::Acquire)
    }

    /// Ends the requests in flight: their callers are answered.
    pub fn end_requests(&self) {
        self.shutdown.ended.send_replace(true);
    }

    /// Completes when requests in flight are ended.
    pub async fn ended(&self) {
        // The sender is part of the state, so it outlives the receiver.
        let _ = self
            .shutdown
            .ended
            .subscribe()
            .wait_for(|ended| *ended)
            .await;
    }

    /// Whether load balancers should send requests to this VM.
    ///
    /// A VM that cannot bill is not ready, for example after it started while the table is
    /// down: it refuses every request, which another VM could serve.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_confirmed() && !self.is_draining() && !self.billing.is_refusing()
    }

    /// Whether new requests may be accepted with the current catalogue.
    ///
    /// This is checked against the clock for each request. A stored flag could be stale after
    /// the VM was paused for longer than the confirmation is valid.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.snapshot.load().is_confirmed(self.clock.now())
    }
}

/// Derives session keys from secrets of any length.
fn session_keys(secrets: &[settings::Secret]) -> session::Keys {
    let key =
        |secret: &settings::Secret| session::Key::new(sha2::Sha256::digest(secret.expose()).into());
    let mut keys = session::Keys::new(key(&secrets[0]));
    keys.previous = secrets.get(1).map(key);
    keys
}
