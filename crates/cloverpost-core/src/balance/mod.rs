//! Load balancing of requests across the upstreams of a pool.
//!
//! A [`Balancer`] scores each upstream by the estimated waiting time of a request: pending
//! prompts, the part of the prompt that is not cached there, utilisation and latency.
//! Penalties for another availability zone and for failures are in seconds too, and the
//! lowest score wins. An upstream that stops responding or refuses connections is ejected
//! for a while, then probed with one request.
//!
//! Unlike [`crate::choice`], which relies on load reports of the upstreams, the balancer relies
//! on the loads that the VMs report to each other.

mod criteria;
mod digest;
mod health;
mod load;
mod options;
mod peers;
mod speed;

pub use criteria::Criteria;
pub use digest::{Digest, Message, Row};
pub use health::Event;
pub use load::Load;
pub use options::Options;
pub use peers::{Aggregator, PeerLoads};
pub use speed::Speed;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::directory;
use crate::id;
use crate::time;

/// Load balancer state of one VM.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    options: Options,
    loads: HashMap<id::Upstream, Load>,
    peers: PeerLoads,
    /// Observed restarts of each upstream under the same id.
    restarts: HashMap<id::Upstream, u32>,
}

impl Balancer {
    /// Creates a balancer without any observations.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            loads: HashMap::new(),
            peers: PeerLoads::default(),
            restarts: HashMap::new(),
        }
    }

    /// Drops the state of idle upstreams that are not in `view`.
    pub fn retain(&mut self, view: &directory::View) {
        let known: HashSet<_> = view.upstreams().map(|one| &one.id).collect();
        self.loads
            .retain(|id, load| load.in_flight > 0 || known.contains(id));
        let loads = &self.loads;
        self.restarts
            .retain(|id, _| known.contains(id) || loads.contains_key(id));
    }

    /// Returns the upstream with the lowest score, or `None` if all of them have been tried.
    #[must_use]
    pub fn choose<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a Arc<directory::Upstream>>,
        criteria: &Criteria<'_>,
        now: time::Moment,
    ) -> Option<&'a Arc<directory::Upstream>> {
        let candidates: Vec<_> = upstreams
            .filter(|one| !criteria.tried.contains(&one.id))
            .map(|one| (one, self.load(&one.id)))
            .collect();
        let available = || candidates.iter().filter(|(_, load)| load.is_available(now));
        let medians = PoolMedians::of(available().map(|(_, load)| *load));
        let preferred = preferred_upstreams(&candidates, criteria);
        let scored = available().map(|(one, load)| {
            (
                *one,
                self.score(one, load, criteria, &medians, &preferred, now),
            )
        });
        let best = scored.min_by(|(_, one), (_, other)| one.total_cmp(other));
        // If every upstream is ejected, fall back to the one whose ejection ends first rather
        // than refuse the request.
        let next_available = || {
            candidates
                .iter()
                .min_by_key(|(_, load)| load.ejected_until())
        };
        best.map(|(upstream, _)| upstream)
            .or_else(|| next_available().map(|(upstream, _)| *upstream))
    }

    /// Whether `upstream` is not ejected.
    #[must_use]
    pub fn is_available(&self, upstream: &id::Upstream, now: time::Moment) -> bool {
        self.load(upstream).is_available(now)
    }

    /// Number of this VM's requests in flight on `upstream`.
    #[must_use]
    pub fn in_flight(&self, upstream: &id::Upstream) -> usize {
        usize::try_from(self.load(upstream).in_flight).unwrap_or(usize::MAX)
    }

    /// Number of requests in flight on `upstream` from the other VMs that report to this one; `None`
    /// without a report lately.
    #[must_use]
    pub fn in_flight_of_peers(&self, upstream: &id::Upstream, now: time::Moment) -> Option<usize> {
        let (_, in_flight) = self.peers.load(upstream, now);
        let is_known = !self.peers.is_stale(now);
        is_known.then(|| usize::try_from(in_flight).unwrap_or(usize::MAX))
    }

    /// Used and total slots of `upstreams`, counting only this VM's requests as used.
    #[must_use]
    pub fn occupancy<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a Arc<directory::Upstream>>,
    ) -> (u32, u32) {
        upstreams.fold((0, 0), |(used, slots), one| {
            let used: u32 = used + self.load(&one.id).in_flight;
            (used, slots.saturating_add(one.slots))
        })
    }

    /// Records a request sent to `upstream` with `work` seconds of prompt processing. Returns
    /// whether it is this VM's only request in flight there.
    pub fn start(&mut self, upstream: &id::Upstream, work: f64) -> bool {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.in_flight += 1;
        load.pending += work;
        load.in_flight == 1
    }

    /// Resets load and health of `upstream` after it restarted under the same id.
    pub fn restart(&mut self, upstream: &id::Upstream) {
        self.loads.remove(upstream);
        *self.restarts.entry(upstream.clone()).or_default() += 1;
    }

    /// Number of observed restarts of `upstream`. A request sent before the last restart must
    /// not be subtracted from the load of the new process.
    #[must_use]
    pub fn restarts(&self, upstream: &id::Upstream) -> u32 {
        self.restarts.get(upstream).copied().unwrap_or_default()
    }

    /// Subtracts `work` seconds from the pending work once the response begins or is abandoned.
    pub fn response_started(&mut self, upstream: &id::Upstream, work: f64) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.pending = (load.pending - work).max(0.0);
        }
    }

    /// Records that a request on `upstream` has ended.
    pub fn request_ended(&mut self, upstream: &id::Upstream) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.in_flight = load.in_flight.saturating_sub(1);
            if load.in_flight == 0 {
                load.pending = 0.0;
            }
        }
    }

    /// Records an event on `upstream` and returns whether it ejected the upstream.
    pub fn record(&mut self, upstream: &id::Upstream, event: Event, now: time::Moment) -> bool {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.record(event, now, &self.options)
    }

    /// Load caused by this VM.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let busy = self.loads.iter().filter(|(_, load)| load.in_flight > 0);
        #[allow(clippy::cast_possible_truncation)] // seconds of work are few
        let rows = busy.map(|(upstream, load)| Row {
            upstream: upstream.clone(),
            pending: load.pending as f32,
            in_flight: load.in_flight,
        });
        Digest {
            rows: rows.collect(),
        }
    }

    /// Replaces the peer loads with `total` minus `own`, the share this VM had reported.
    pub fn set_peer_loads(&mut self, total: &Digest, own: &Digest, now: time::Moment) {
        self.peers.set(total, own, now);
    }

    /// Time since data was last received from `upstream`, or since `since` if that is later.
    #[must_use]
    pub fn silence(
        &self,
        upstream: &id::Upstream,
        since: time::Moment,
        now: time::Moment,
    ) -> Duration {
        let last_received = self.load(upstream).last_received.max(since);
        now.since(last_received)
    }

    fn load(&self, upstream: &id::Upstream) -> &Load {
        static IDLE: Load = Load::idle();
        self.loads.get(upstream).unwrap_or(&IDLE)
    }

    /// Estimated cost, in seconds, of sending the request to `upstream`.
    fn score(
        &self,
        upstream: &directory::Upstream,
        load: &Load,
        criteria: &Criteria<'_>,
        medians: &PoolMedians,
        preferred: &[&id::Upstream],
        now: time::Moment,
    ) -> f64 {
        let options = &self.options;
        let (pending, in_flight) = self.peers.load(&upstream.id, now);
        let pending = load.pending + pending * options.others;
        let in_flight = f64::from(load.in_flight) + f64::from(in_flight) * options.others;
        let relative_latency = load.relative_latency(medians.latency);
        let is_cached = preferred.contains(&&upstream.id);
        let work = if is_cached {
            criteria.work - criteria.shared * options.home
        } else {
            criteria.work
        };
        let utilisation = (in_flight + 1.0) / f64::from(upstream.slots.max(1));
        let running = utilisation * options.running
            + (utilisation - options.full_threshold).max(0.0) * options.full;
        let is_far = upstream.zone != *criteria.zone;
        let far = if is_far { options.far } else { 0.0 };
        let failing = (load.failure_rate - medians.failure_rate).max(0.0) * options.failing;
        let slow = (relative_latency - 1.0).max(0.0) * options.slow;
        let draw = criteria::tie_break(criteria.draw, &upstream.id) * options.spread;
        (pending + work + running) * relative_latency + far + failing + slow + draw
    }
}

/// The upstream of each zone with the highest rendezvous score, which is most likely to have
/// cached the prompt prefix.
fn preferred_upstreams<'a>(
    candidates: &[(&'a Arc<directory::Upstream>, &Load)],
    criteria: &Criteria<'_>,
) -> Vec<&'a id::Upstream> {
    let Some(affinity) = criteria.affinity else {
        return Vec::new();
    };
    let mut best = HashMap::<&id::AvailabilityZone, (u64, &id::Upstream)>::new();
    for (upstream, _) in candidates {
        let score = affinity.score(criteria::upstream_hash(&upstream.id));
        let highest = best.entry(&upstream.zone).or_insert((score, &upstream.id));
        if score > highest.0 {
            *highest = (score, &upstream.id);
        }
    }
    best.into_values().map(|(_, id)| id).collect()
}

/// Median latency and failure rate of the available upstreams of a pool.
struct PoolMedians {
    latency: Option<f64>,
    failure_rate: f64,
}

impl PoolMedians {
    /// Uses medians, which a few slow or failing upstreams do not distort.
    fn of<'a>(loads: impl Iterator<Item = &'a Load>) -> Self {
        let loads: Vec<_> = loads.collect();
        Self {
            latency: median(loads.iter().filter_map(|load| load.latency)),
            failure_rate: median(loads.iter().map(|load| load.failure_rate)).unwrap_or_default(),
        }
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<_> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
