//! State shared by the traffic and control threads.

use std::collections::HashMap;
use std::sync::atomic::{AtomicI64, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use arc_swap::ArcSwap;
use cloverpost_core::evidence::Source;
use cloverpost_core::{
    admission, balance, budget, directory, escalation, exposure, id, path, poison, quota, shutdown,
    throttle, time,
};
use tokio::sync::{Notify, watch};

use crate::clock::Clock;
use crate::gateway::buffers::Buffers;
use crate::gateway::clients::Clients;
use crate::gateway::codec::Codec;
use crate::gateway::crashes;
use crate::gateway::evidence::Evidence;
use crate::gateway::job::Job;
use crate::gateway::metrics::Metrics;
use crate::gateway::path::LossChecks;
use crate::gateway::pool::Pool;
use crate::gateway::settings::Settings;
use crate::gateway::startup::{self, Waiters};
use crate::peer;
use crate::quarantine::Quarantine;

/// Share of the fleet's retry budget distributed to VMs. The rest absorbs requests that VMs count
/// in different seconds.
const BUDGET_SHARE: f64 = 0.9;

/// Progress of a graceful shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Takes requests.
    #[default]
    Serving,
    /// Serves requests, but directs callers and the balancer to other VMs.
    Leaving,
    /// Closes idle connections.
    Closing,
}

/// State shared by the traffic and control threads.
pub struct Shared<C: Codec> {
    /// The current settings.
    pub settings: ArcSwap<Settings>,
    /// Protocol of callers and upstreams.
    pub codec: C,
    /// The monotonic clock.
    pub clock: Clock,
    /// The current routing view.
    pub view: ArcSwap<directory::View>,
    /// Whether a configuration and upstreams have been received since startup.
    pub is_routable: watch::Sender<bool>,
    /// Connections to upstreams.
    pub pool: Pool,
    /// Memory for large responses.
    pub buffers: Buffers,
    /// Memory for large requests.
    pub uploads: Buffers,
    /// Connections of callers.
    pub callers: Clients,
    /// Links to peers, once the control thread has bound them.
    pub links: OnceLock<peer::Links>,
    /// The other VMs.
    pub peers: ArcSwap<Vec<directory::Member>>,
    /// Metrics exported by this VM.
    pub metrics: Metrics,
    /// Progress of a graceful shutdown.
    pub phase: watch::Sender<Phase>,
    /// End of the VM's service, once it shuts down.
    pub end: watch::Sender<Option<shutdown::End>>,
    /// Requests that crash upstreams.
    pub quarantine: Quarantine,
    successes: Mutex<poison::Successes>,
    sound_parts: Mutex<poison::Successes>,
    given_up: Mutex<poison::GivenUp>,
    balancer: Mutex<balance::Balancer>,
    paths: Mutex<path::Register>,
    helpers: Mutex<path::Helpers>,
    loss_checks: Mutex<LossChecks>,
    speed: Mutex<balance::Speed>,
    admission: Mutex<admission::Register>,
    startup: Mutex<Waiters>,
    returns: Mutex<throttle::Returns>,
    /// Notified when other VMs should be told of rejections.
    pub rejection_news: Notify,
    durations: Mutex<shutdown::Durations>,
    sizes: Mutex<escalation::Sizes>,
    caller_retries: Mutex<escalation::Retries>,
    /// The current process of each upstream.
    processes: Mutex<directory::Processes>,
    sessions: Mutex<exposure::Sessions>,
    pins: Mutex<exposure::Pins>,
    tallies: Mutex<exposure::Tallies>,
    /// Retry credit by service.
    credits: Mutex<HashMap<id::Pool, budget::Credit>>,
    /// Number of VMs that share the fleet's budgets; 0 if unknown.
    fleet_vms: AtomicU32,
    evidence: Mutex<Evidence>,
    /// Offset of the store's clock from this VM's, in milliseconds.
    store_offset: AtomicI64,
}

impl<C: Codec> Shared<C> {
    /// Limits on the requests of callers.
    #[must_use]
    pub fn limits(&self) -> directory::Limits {
        let view = self.view.load();
        let limits = view.index.as_ref().map(|index| *index.limits());
        limits.unwrap_or_default()
    }

    /// Creates the state of a VM that has just started.
    #[must_use]
    pub fn new(settings: Settings, codec: C) -> Arc<Self> {
        let clock = Clock::start();
        let source = Source {
            vm: settings.vm.clone(),
            // Counts restart at zero with the process, so each process needs an id of its own. The
            // ids are unordered.
            process: id::Process::new(rand::random()),
        };
        let balancer = balance::Balancer::new(settings.choice);
        let senders = quota::Senders::new(settings.vm.clone(), std::iter::empty());
        let admission = admission::Register::new(settings.cold, settings.throttle, senders);
        let startup = Waiters::new(settings.startup);
        let metrics = Metrics::new();
        let memory = settings.memory;
        let given_up = metrics.clients.given_up.clone();
        let uploads = Buffers::with_offers(memory.requests, given_up);
        let descriptors = settings.max_descriptors;
        let callers = Clients::of_callers(descriptors, memory, uploads.clone(), &metrics.clients);
        Arc::new(Self {
            settings: ArcSwap::from_pointee(settings),
            codec,
            clock,
            view: ArcSwap::default(),
            is_routable: watch::Sender::new(false),
            pool: Pool::new(clock, metrics.connections.open.clone()),
            buffers: Buffers::new(memory.responses),
            uploads,
            callers,
            links: OnceLock::new(),
            peers: ArcSwap::default(),
            metrics,
            phase: watch::Sender::new(Phase::Serving),
            end: watch::Sender::new(None),
            quarantine: Quarantine::with_options(crashes::OPTIONS),
            successes: Mutex::new(crashes::no_successes()),
            sound_parts: Mutex::new(crashes::no_sound_parts()),
            given_up: Mutex::new(crashes::none_given_up()),
            balancer: Mutex::new(balancer),
            paths: Mutex::default(),
            helpers: Mutex::default(),
            loss_checks: Mutex::default(),
            speed: Mutex::default(),
            admission: Mutex::new(admission),
            startup: Mutex::new(startup),
            returns: Mutex::default(),
            rejection_news: Notify::new(),
            durations: Mutex::default(),
            sizes: Mutex::default(),
            caller_retries: Mutex::default(),
            processes: Mutex::default(),
            sessions: Mutex::default(),
            pins: Mutex::default(),
            tallies: Mutex::default(),
            credits: Mutex::default(),
            fleet_vms: AtomicU32::new(0),
            evidence: Mutex::new(Evidence::new(source)),
            store_offset: AtomicI64::new(0),
        })
    }

    /// Requests that succeeded on this VM lately.
    pub fn successes(&self) -> MutexGuard<'_, poison::Successes> {
        lock(&self.successes)
    }

    /// Parts of prompts with which requests succeeded lately.
    pub fn sound_parts(&self) -> MutexGuard<'_, poison::Successes> {
        lock(&self.sound_parts)
    }

    /// Attempts that this VM gave up lately.
    pub fn given_up(&self) -> MutexGuard<'_, poison::GivenUp> {
        lock(&self.given_up)
    }

    /// Load and health of upstreams as seen by this VM.
    pub fn balancer(&self) -> MutexGuard<'_, balance::Balancer> {
        lock(&self.balancer)
    }

    /// Direct paths to upstreams that are broken.
    pub fn paths(&self) -> MutexGuard<'_, path::Register> {
        lock(&self.paths)
    }

    /// VMs that connections are asked of.
    pub fn helpers(&self) -> MutexGuard<'_, path::Helpers> {
        lock(&self.helpers)
    }

    /// Checks for the cause of lost connections.
    pub fn loss_checks(&self) -> MutexGuard<'_, LossChecks> {
        lock(&self.loss_checks)
    }

    /// Prompt processing rates of models.
    pub fn speed(&self) -> MutexGuard<'_, balance::Speed> {
        lock(&self.speed)
    }

    /// What upstreams say of themselves. Locked before [`Self::balancer`] where both are needed.
    pub fn admission(&self) -> MutexGuard<'_, admission::Register> {
        lock(&self.admission)
    }

    /// Requests that wait for the first configuration.
    pub fn startup(&self) -> MutexGuard<'_, Waiters> {
        lock(&self.startup)
    }

    /// When rejected callers may return to services whose upstreams state limits.
    pub fn returns(&self) -> MutexGuard<'_, throttle::Returns> {
        lock(&self.returns)
    }

    /// Usual durations of requests by route.
    pub fn durations(&self) -> MutexGuard<'_, shutdown::Durations> {
        lock(&self.durations)
    }

    /// Typical request sizes by route.
    pub fn sizes(&self) -> MutexGuard<'_, escalation::Sizes> {
        lock(&self.sizes)
    }

    /// Caller waiting times by route.
    pub fn caller_retries(&self) -> MutexGuard<'_, escalation::Retries> {
        lock(&self.caller_retries)
    }

    /// Versions used by recent sessions.
    pub fn sessions(&self) -> MutexGuard<'_, exposure::Sessions> {
        lock(&self.sessions)
    }

    /// Sessions pinned to the old version of a rollout.
    pub fn pins(&self) -> MutexGuard<'_, exposure::Pins> {
        lock(&self.pins)
    }

    /// Returns the current stage of `rollout`.
    pub fn stage(&self, rollout: &directory::Rollout) -> exposure::Stage {
        let settings = self.settings.load();
        let now_ms = self.store_now_ms();
        let allowance = exposure::Allowance {
            share: settings.exposure_share,
            slack: self.fleet().share(settings.exposure_slack),
        };
        let since_ms = now_ms.saturating_sub(millis(self.clock.now()));
        let allowance = allowance.for_process(since_ms, rollout);
        exposure::stage(rollout, now_ms, allowance, settings.session_gap)
    }

    /// Requests sent to services during rollouts.
    pub fn tallies(&self) -> MutexGuard<'_, exposure::Tallies> {
        lock(&self.tallies)
    }

    /// Records the first attempt of a request to `service`.
    pub fn record_first_attempt(&self, service: &id::Pool) {
        let now = self.clock.now();
        self.with_credit(service, |credit, limits| {
            credit.record_first_send(limits, now);
        });
    }

    /// Takes a retry of `job` from the budget; returns `false` if none is left.
    pub fn try_take_retry(&self, job: &Job) -> bool {
        let now = self.clock.now();
        let service = &job.service;
        let granted = self.with_credit(service, |credit, limits| {
            credit.try_take_repeat(limits, now)
        });
        let result = if granted { "granted" } else { "refused" };
        let retries = &self.metrics.retries;
        retries.with_label_values(&[service.as_str(), result]).inc();
        if !granted {
            log::info!(
                id = job.head.id.as_str(), service = service.as_str(),
                fleet = self.metrics.fleet.get(), slack = self.metrics.retry_slack.get();
                "the retry budget has no repeat left"
            );
        }
        granted
    }

    /// Returns whether the budget allows a retry to `service`.
    pub fn has_retry(&self, service: &id::Pool) -> bool {
        let now = self.clock.now();
        self.with_credit(service, |credit, limits| credit.has_repeat(limits, now))
    }

    fn with_credit<T>(
        &self,
        service: &id::Pool,
        update: impl FnOnce(&mut budget::Credit, &budget::Limits) -> T,
    ) -> T {
        let limits = limits(&self.settings.load(), self.fleet());
        let mut credits = lock(&self.credits);
        if !credits.contains_key(service) {
            let credit = budget::Credit::new(self.initial_credit(&limits));
            credits.insert(service.clone(), credit);
        }
        let credit = credits.get_mut(service).expect("inserted above");
        update(credit, &limits)
    }

    /// Returns the initial retry credit. It is zero within the first window, because a previous
    /// process may have spent the slack.
    fn initial_credit(&self, limits: &budget::Limits) -> f64 {
        let age = self.clock.now().since_start();
        if age < limits.window {
            0.0
        } else {
            limits.slack
        }
    }

    /// Response quality of versions in rollouts.
    pub fn evidence(&self) -> MutexGuard<'_, Evidence> {
        lock(&self.evidence)
    }

    /// Returns the VMs that share the fleet's budgets.
    pub fn fleet(&self) -> directory::Fleet {
        directory::Fleet::new(self.fleet_vms.load(Ordering::Relaxed))
    }

    /// Divides the fleet's budgets among the VMs of `fleet`.
    pub fn set_fleet(&self, fleet: directory::Fleet) {
        self.fleet_vms.store(fleet.vms(), Ordering::Relaxed);
        let slack = limits(&self.settings.load(), fleet).slack;
        let vms = i64::from(fleet.vms());
        if self.metrics.fleet.get() != vms {
            self.metrics.fleet.set(vms);
            log::info!(fleet:%, slack; "the fleet's budgets are divided anew");
        }
        self.metrics.retry_slack.set(slack);
    }

    /// Returns the estimated time of the store's clock, in milliseconds.
    pub fn store_now_ms(&self) -> u64 {
        let offset = self.store_offset.load(Ordering::Relaxed);
        millis(self.clock.now()).saturating_add_signed(offset)
    }

    /// Updates the offset from a reading of the store's clock.
    pub fn set_store_now_ms(&self, now_ms: u64) {
        let local_ms = i64::try_from(millis(self.clock.now())).unwrap_or(i64::MAX);
        let store_ms = i64::try_from(now_ms).unwrap_or(i64::MAX);
        self.store_offset
            .store(store_ms - local_ms, Ordering::Relaxed);
    }

    /// Discards what was learned about `upstream` after a restart under the same id.
    fn reset_upstream(&self, upstream: &id::Upstream) {
        self.balancer().restart(upstream);
        self.admission().restart(upstream, self.clock.now());
        self.pool.close_idle(upstream);
        self.pool.connections().restart(upstream);
    }

    /// Publishes a routing view. Resets the state of upstreams that restarted and marks the VM as
    /// routable once the view has a configuration and upstreams.
    pub fn publish(&self, view: directory::View) {
        for upstream in lock(&self.processes).update(&view) {
            log::info!(
                upstream = upstream.id.as_str(), service = upstream.service.as_str(),
                born_ms = upstream.born_ms.unwrap_or_default();
                "upstream has started again, what was learnt of it is forgotten"
            );
            self.reset_upstream(&upstream.id);
        }
        let last = self.view.load();
        let now = self.clock.now();
        let newly_cold = self.admission().cold.apply_view(&last, &view, now);
        for (upstream, time) in newly_cold {
            let cold_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
            log::info!(upstream = upstream.as_str(), cold_ms; "upstream is cold and gets little work");
        }
        let is_routable = view.index.is_some() && !view.pools.is_empty();
        self.view.store(Arc::new(view));
        if is_routable && !*self.is_routable.borrow() {
            startup::open(self);
        }
        self.is_routable.send_if_modified(|was_routable| {
            let is_changed = is_routable && !*was_routable;
            *was_routable |= is_routable;
            is_changed
        });
    }

    /// Returns whether this VM accepts new connections.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving && self.view.load().index.is_some()
    }
}

/// Returns the retry limits of each VM of `fleet`.
fn limits(settings: &Settings, fleet: directory::Fleet) -> budget::Limits {
    budget::Limits {
        share: settings.retry_share * BUDGET_SHARE,
        reserve_fraction: settings.retry_kept,
        slack: fleet.share(f64::from(settings.retry_slack) * BUDGET_SHARE),
        window: settings.retry_window,
    }
}

fn millis(now: time::Moment) -> u64 {
    u64::try_from(now.since_start().as_millis()).unwrap_or(u64::MAX)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Ignores poisoning: no lock is held across an await or a call that may panic midway through
    // an update.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
