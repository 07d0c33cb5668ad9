//! Which upstream of a pool gets a request.
//!
//! A [`Balance`] knows what this VM has in flight on each upstream and how its
//! answers went. It prefers the VM's own availability zone, since bytes between
//! zones cost money, and the upstreams that are likely to hold the start of the
//! prompt; load, slowness and failures weigh against both. An upstream that
//! falls silent or refuses connections is left out for a while, then tried with
//! one request.

mod health;
mod load;
mod options;
mod want;

pub use health::Event;
pub use load::Load;
pub use options::Options;
pub use want::Want;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::directory;
use crate::id;
use crate::time;

/// What this VM knows of the upstreams by its own requests.
#[derive(Clone, Debug, Default)]
pub struct Balance {
    options: Options,
    loads: HashMap<id::Upstream, Load>,
}

impl Balance {
    /// Knows nothing yet.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            loads: HashMap::new(),
        }
    }

    /// Forgets upstreams that are not in `view` and idle.
    pub fn retain(&mut self, view: &directory::View) {
        let known = |id: &id::Upstream| {
            let mut upstreams = view.pools.values().flat_map(|pool| &pool.upstreams);
            upstreams.any(|one| one.id == *id)
        };
        self.loads
            .retain(|id, load| load.in_flight > 0 || known(id));
    }

    /// The best of `upstreams` for `want`; `None` if none can take it.
    #[must_use]
    pub fn choose<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a Arc<directory::Upstream>>,
        want: &Want<'_>,
        now: time::Moment,
    ) -> Option<&'a Arc<directory::Upstream>> {
        let candidates: Vec<_> = upstreams
            .filter(|one| !want.tried.contains(&one.id))
            .map(|one| (one, self.load(&one.id)))
            .collect();
        let sound = || candidates.iter().filter(|(_, load)| load.takes(now));
        let typical = Typical::of(sound().map(|(_, load)| *load));
        let best = sound().min_by(|one, other| {
            let one = self.score(one.0, one.1, want, &typical, &candidates);
            let other = self.score(other.0, other.1, want, &typical, &candidates);
            one.total_cmp(&other)
        });
        // With every upstream under suspicion the suspicion is worth little, and
        // a refusal would be sure to harm the caller.
        let least = || {
            candidates
                .iter()
                .min_by_key(|(_, load)| load.shunned_until())
        };
        best.or_else(least).map(|(upstream, _)| *upstream)
    }

    /// Places that are taken and that there are on `upstreams`, as far as this VM
    /// knows.
    #[must_use]
    pub fn occupancy<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a Arc<directory::Upstream>>,
    ) -> (u32, u32) {
        upstreams.fold((0, 0), |(taken, places), one| {
            (taken + self.load(&one.id).in_flight, places + one.slots)
        })
    }

    /// Counts a request that is sent to `upstream`.
    pub fn start(&mut self, upstream: &id::Upstream) {
        self.loads.entry(upstream.clone()).or_default().in_flight += 1;
    }

    /// Counts a request that no longer runs on `upstream`.
    pub fn finish(&mut self, upstream: &id::Upstream) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Takes in what a request on `upstream` showed; whether it is left out
    /// from now on.
    pub fn note(&mut self, upstream: &id::Upstream, event: Event, now: time::Moment) -> bool {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.note(event, now, &self.options)
    }

    /// Time since anything came from `upstream`, counted from `since` at most.
    #[must_use]
    pub fn silence(
        &self,
        upstream: &id::Upstream,
        since: time::Moment,
        now: time::Moment,
    ) -> Duration {
        let heard = self.load(upstream).heard.max(since);
        now.since(heard)
    }

    fn load(&self, upstream: &id::Upstream) -> &Load {
        static IDLE: Load = Load::idle();
        self.loads.get(upstream).unwrap_or(&IDLE)
    }

    fn score(
        &self,
        upstream: &directory::Upstream,
        load: &Load,
        want: &Want<'_>,
        typical: &Typical,
        candidates: &[(&Arc<directory::Upstream>, &Load)],
    ) -> f64 {
        let options = &self.options;
        let slowness = load.slowness(typical.latency);
        let slots = f64::from(upstream.slots.max(1));
        let busy = f64::from(load.in_flight + 1) / slots * slowness;
        let far = if upstream.zone == *want.zone {
            0.0
        } else {
            options.far
        };
        let rank = want.affinity.map_or(0.0, |affinity| {
            let own = affinity.score(want::key(&upstream.id));
            let better = candidates
                .iter()
                .filter(|(one, _)| one.zone == upstream.zone)
                .filter(|(one, _)| affinity.score(want::key(&one.id)) > own);
            let rank = u32::try_from(better.count()).unwrap_or(u32::MAX);
            f64::from(rank.min(options.ranks)) * options.rank
        });
        let failing = (load.failing - typical.failing).max(0.0) * options.failing;
        busy + far + rank + failing + (slowness - 1.0).max(0.0) * options.slow
    }
}

/// What is usual among the upstreams of a pool.
struct Typical {
    latency: Option<f64>,
    failing: f64,
}

impl Typical {
    /// The medians, so that a few slow or failing upstreams don't set them.
    fn of<'a>(loads: impl Iterator<Item = &'a Load>) -> Self {
        let loads: Vec<_> = loads.collect();
        Self {
            latency: median(loads.iter().filter_map(|load| load.latency)),
            failing: median(loads.iter().map(|load| load.failing)).unwrap_or_default(),
        }
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<_> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
