//! A VM that dispatches requests by one of the policies.

use std::time::Duration;

use cloverpost_core::{choice, overload, time};
use rand::Rng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::policy::Policy;
use crate::policy::traffic::request::{Dispatch, Request};
use crate::policy::traffic::setup::{CLASSES, Setup};

/// Capacity of the request queue of a VM.
const MAX_QUEUED: usize = 64;

/// Age of the oldest queued request of a class above which the newest is served first.
const LIFO_THRESHOLD: Duration = Duration::from_secs(2);

/// Outcome of a decision on a request.
pub(super) enum Action {
    /// Sends a request to the engine with this index.
    Send(usize, Dispatch),
    /// Refuses a request, which may be a queued one instead of the new one.
    Refuse(Request),
}

/// A VM that routes requests to the engines.
pub(super) struct Vm {
    policy: Policy,
    upstreams: Vec<choice::Upstream>,
    limiter: overload::Limiter,
    queue: overload::Queue<Request>,
    estimators: [overload::Estimator; CLASSES.len()],
    last_engine: usize,
}

impl Vm {
    pub(super) fn new(setup: &Setup, policy: Policy, index: usize) -> Self {
        let upstream = |engine| choice::Upstream::new(&format!("engine-{engine}"), u32::MAX);
        let upstreams: Vec<_> = (0..setup.engines).map(upstream).collect();
        let limiter = new_limiter(setup, &upstreams, index);
        let vm = Self {
            policy,
            upstreams,
            limiter,
            queue: overload::Queue::new(MAX_QUEUED, LIFO_THRESHOLD),
            estimators: Default::default(),
            last_engine: index,
        };
        vm.apply_limits();
        vm
    }

    /// Records a load report of an engine, sampled at `taken`.
    pub(super) fn record_report(&self, engine: usize, load: u32, taken: time::Moment) {
        let upstream = &self.upstreams[engine];
        upstream.record_report(choice::Report::new(load, upstream.in_flight(), taken));
    }

    /// Dispatches, queues or refuses a new request.
    pub(super) fn offer(
        &mut self,
        request: Request,
        now: time::Moment,
        rng: &mut ChaCha8Rng,
    ) -> Vec<Action> {
        let mut actions = self.dispatch_queued(now, rng);
        if self.queue.is_empty()
            && let Some(engine) = self.select_engine(&request, now, rng)
        {
            actions.push(self.send(engine, request, now));
            return actions;
        }
        let ticket = overload::Ticket {
            value: CLASSES[request.class].value,
            deadline: self.estimators[request.class].latest_start(request.deadline),
        };
        match self.queue.offer(request, ticket, now) {
            overload::Offer::Queued => {}
            overload::Offer::Displaced(shed) | overload::Offer::Refused(shed) => {
                actions.push(Action::Refuse(shed));
            }
        }
        actions.extend(self.dispatch_queued(now, rng));
        actions
    }

    /// Records a completed answer and dispatches queued requests to the freed slot.
    pub(super) fn finish(
        &mut self,
        engine: usize,
        dispatch: &Dispatch,
        first_byte: time::Moment,
        now: time::Moment,
        rng: &mut ChaCha8Rng,
    ) -> Vec<Action> {
        self.upstreams[engine].finish();
        self.estimators[dispatch.request.class].record(now.since(dispatch.started));
        let sample = overload::Sample::Answered {
            first_byte: first_byte.since(dispatch.started),
            in_flight: dispatch.in_flight,
        };
        let key = self.upstreams[engine].key();
        if self.limiter.record(key, sample, now) {
            self.apply_limits();
        }
        self.dispatch_queued(now, rng)
    }

    const fn sheds_load(&self) -> bool {
        matches!(self.policy, Policy::Cloverpost | Policy::NoAffinity)
    }

    /// Applies the concurrency limits, for policies that shed load.
    fn apply_limits(&self) {
        if !self.sheds_load() {
            return;
        }
        for (key, limit) in self.limiter.limits() {
            let upstream = self.upstreams.iter().find(|upstream| upstream.key() == key);
            upstream.inspect(|upstream| upstream.set_limit(limit));
        }
    }

    fn dispatch_queued(&mut self, now: time::Moment, rng: &mut ChaCha8Rng) -> Vec<Action> {
        let expired = self.queue.expire(now);
        let mut actions: Vec<_> = expired.into_iter().map(Action::Refuse).collect();
        while self.upstreams.iter().any(choice::Upstream::has_room) {
            let Some(request) = self.queue.take(now) else {
                break;
            };
            match self.select_engine(&request, now, rng) {
                Some(engine) => actions.push(self.send(engine, request, now)),
                None => actions.push(Action::Refuse(request)),
            }
        }
        actions
    }

    fn send(&mut self, engine: usize, request: Request, now: time::Moment) -> Action {
        let upstream = &self.upstreams[engine];
        assert!(upstream.try_start(), "the chosen engine has no room");
        let priority = if self.sheds_load() {
            CLASSES[request.class].value
        } else {
            0
        };
        let dispatch = Dispatch {
            request,
            priority,
            started: now,
            in_flight: upstream.in_flight(),
        };
        Action::Send(engine, dispatch)
    }

    fn select_engine(
        &mut self,
        request: &Request,
        now: time::Moment,
        rng: &mut ChaCha8Rng,
    ) -> Option<usize> {
        let prefix = choice::Affinity::of(&request.prefix.to_be_bytes());
        match self.policy {
            Policy::NoAffinity => self.choose(None, now, rng),
            Policy::Random => Some(rng.random_range(0..self.upstreams.len())),
            Policy::RoundRobin => Some(self.next_round_robin()),
            Policy::LeastReported => self.least_reported(rng),
            _ => self.choose(Some(prefix), now, rng),
        }
    }

    /// Chooses an engine by load and affinity with the code of `cloverpost-core`.
    fn choose(
        &self,
        affinity: Option<choice::Affinity>,
        now: time::Moment,
        rng: &mut ChaCha8Rng,
    ) -> Option<usize> {
        let options = choice::Options::default();
        let chosen = choice::choose(&self.upstreams, |_| true, affinity, &options, now, rng)?;
        let is_chosen = |upstream: &choice::Upstream| std::ptr::eq(upstream, chosen);
        self.upstreams.iter().position(is_chosen)
    }

    fn next_round_robin(&mut self) -> usize {
        self.last_engine = (self.last_engine + 1) % self.upstreams.len();
        self.last_engine
    }

    /// The engine with the lowest reported load; ties are broken at random.
    fn least_reported(&self, rng: &mut ChaCha8Rng) -> Option<usize> {
        let reported = |upstream: &choice::Upstream| {
            let report = upstream.report();
            report.map_or(0, choice::Report::peer_load)
        };
        let least = self.upstreams.iter().map(reported).min()?;
        let is_least = |index: &usize| reported(&self.upstreams[*index]) == least;
        (0..self.upstreams.len()).filter(is_least).choose(rng)
    }
}

/// Concurrency limiter of all engines. The rounding offset differs by VM.
fn new_limiter(setup: &Setup, upstreams: &[choice::Upstream], index: usize) -> overload::Limiter {
    let to_f64 = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    let options = overload::Options {
        rounding_offset: to_f64(index) / to_f64(setup.vms),
        ..overload::Options::default()
    };
    let mut limiter = overload::Limiter::new(options, time::Moment::default());
    for upstream in upstreams {
        limiter.join(upstream.key());
    }
    limiter
}
