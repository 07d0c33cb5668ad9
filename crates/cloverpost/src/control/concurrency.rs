//! Adapts the concurrency limits of upstreams to observed response times and overload.

use std::collections::HashMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use cloverpost_core::overload::{Estimator, Limiter, Options};
use cloverpost_core::{id, time};
use tokio::sync::mpsc;

use crate::front;
use crate::overload::{Event, Observation};
use crate::snapshot;

/// Interval between updates of the set of upstreams and the catalogue's limits.
const SYNC_INTERVAL: Duration = Duration::from_millis(200);
/// Concurrency limit of an upstream whose pool is not in the catalogue.
const DEFAULT_LIMIT: u32 = 64;

/// Limits and service times of one pool.
struct Pool {
    /// Maximum limit per upstream, from the catalogue.
    max: u32,
    limiter: Limiter,
    estimator: Estimator,
    /// Keys of the upstreams that the limiter knows.
    keys: Vec<u64>,
}

/// Runs until the sending end of `observations` is dropped.
pub async fn run(mut observations: mpsc::Receiver<Observation>, front: front::State) {
    let mut controller = Controller {
        rounding_offset: rounding_offset(&front.settings.vm),
        pools: HashMap::new(),
        front,
    };
    let mut sync_interval = tokio::time::interval(SYNC_INTERVAL);
    loop {
        tokio::select! {
            observation = observations.recv() => match observation {
                Some(observation) => controller.record(&observation),
                None => return,
            },
            _ = sync_interval.tick() => controller.sync(),
        }
    }
}

struct Controller {
    front: front::State,
    rounding_offset: f64,
    pools: HashMap<id::Pool, Pool>,
}

impl Controller {
    fn record(&mut self, observation: &Observation) {
        let now = self.front.clock.now();
        let name = observation.queue.pool();
        let Some(pool) = self.pools.get_mut(name) else {
            return;
        };
        match observation.event {
            Event::Completed(elapsed) => {
                pool.estimator.record(elapsed);
                observation
                    .queue
                    .set_response_bound(pool.estimator.upper_bound());
            }
            Event::Sample(sample) => {
                if pool.limiter.record(observation.key, sample, now) {
                    let snapshot = self.front.snapshot.load();
                    let total = pool.publish(snapshot.pool(name));
                    self.set_gauge(name, total);
                }
            }
        }
    }

    /// Updates the pools from the snapshot and publishes their limits.
    ///
    /// Until the first update that includes it, a new upstream has the pool's maximum
    /// as its limit.
    fn sync(&mut self) {
        let now = self.front.clock.now();
        let snapshot = self.front.snapshot.load();
        for (name, upstreams) in &snapshot.upstreams {
            let catalogue = &snapshot.catalogue;
            let max = catalogue
                .pool(name)
                .map_or(DEFAULT_LIMIT, |pool| pool.concurrency);
            let entry = self.pools.entry(name.clone());
            let rounding_offset = self.rounding_offset;
            let pool = entry.or_insert_with(|| Pool::new(max, rounding_offset, now));
            if pool.max != max {
                *pool = Pool {
                    estimator: pool.estimator,
                    ..Pool::new(max, rounding_offset, now)
                };
            }
            pool.sync_upstreams(upstreams);
            let total = pool.publish(upstreams);
            if let Some(queue) = snapshot.queues.get(name) {
                queue.refill(upstreams);
            }
            self.set_gauge(name, total);
        }
    }

    fn set_gauge(&self, pool: &id::Pool, total: u32) {
        let gauge = &self.front.metrics.upstream_limit;
        gauge.with_label_values(&[pool.as_str()]).set(total.into());
    }
}

impl Pool {
    /// Creates a pool whose limits start at `max`.
    ///
    /// Limits that start low take minutes to rise, during which a fleet of one VM would
    /// shed requests that its upstreams could serve.
    fn new(max: u32, rounding_offset: f64, now: time::Moment) -> Self {
        let options = Options {
            start: max,
            max,
            rounding_offset,
            ..Options::default()
        };
        Self {
            max,
            limiter: Limiter::new(options, now),
            estimator: Estimator::default(),
            keys: Vec::new(),
        }
    }

    fn sync_upstreams(&mut self, upstreams: &[snapshot::Upstream]) {
        let keys: Vec<_> = upstreams
            .iter()
            .map(|upstream| upstream.load.key())
            .collect();
        for key in self.keys.iter().filter(|key| !keys.contains(key)) {
            self.limiter.leave(*key);
        }
        for key in keys.iter().filter(|key| !self.keys.contains(key)) {
            self.limiter.join(*key);
        }
        self.keys = keys;
    }

    /// Sets the limits of `upstreams` and returns their sum.
    fn publish(&self, upstreams: &[snapshot::Upstream]) -> u32 {
        let limits: HashMap<_, _> = self.limiter.limits().collect();
        for upstream in upstreams {
            if let Some(limit) = limits.get(&upstream.load.key()) {
                upstream.load.set_limit((*limit).min(self.max));
            }
        }
        let limits = upstreams.iter().map(|upstream| upstream.load.limit());
        limits.fold(0, u32::saturating_add)
    }
}

/// Offset from 0 to 1 for rounding limits, derived from the VM's name so that it differs
/// between VMs.
fn rounding_offset(vm: &id::Vm) -> f64 {
    let mut hasher = DefaultHasher::new();
    vm.hash(&mut hasher);
    let hash = u32::try_from(hasher.finish() >> u32::BITS).unwrap_or_default();
    f64::from(hash) / f64::from(u32::MAX)
}
