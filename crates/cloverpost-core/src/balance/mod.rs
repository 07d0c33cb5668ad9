//! Which upstream of a pool gets a request.
//!
//! A [`Balance`] estimates, for each upstream, how long a request would wait there:
//! the prompts that this VM has sent and that have not been answered yet, what the
//! upstream would have to read itself because it does not remember the start of
//! the prompt, how many requests run there, and how slow it is. The price of
//! another availability zone and of failures is stated in seconds too, and the
//! lowest sum wins. An upstream that falls silent or refuses connections is left
//! out for a while, then tried with one request.

mod digest;
mod health;
mod load;
mod options;
mod others;
mod rate;
mod want;

pub use digest::{Digest, Message, Row};
pub use health::Event;
pub use load::Load;
pub use options::Options;
pub use others::{Others, Sum};
pub use rate::Rate;
pub use want::Want;

use std::collections::{HashMap, HashSet};
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
    others: Others,
    /// Times that an upstream was seen to start again under its id.
    restarts: HashMap<id::Upstream, u32>,
}

impl Balance {
    /// Knows nothing yet.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            loads: HashMap::new(),
            others: Others::default(),
            restarts: HashMap::new(),
        }
    }

    /// Forgets upstreams that are not in `view` and idle.
    pub fn retain(&mut self, view: &directory::View) {
        let known: HashSet<_> = view.upstreams().map(|one| &one.id).collect();
        self.loads
            .retain(|id, load| load.in_flight > 0 || known.contains(id));
        let loads = &self.loads;
        self.restarts
            .retain(|id, _| known.contains(id) || loads.contains_key(id));
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
        let homes = homes(&candidates, want);
        let scored =
            sound().map(|(one, load)| (*one, self.score(one, load, want, &typical, &homes, now)));
        let best = scored.min_by(|(_, one), (_, other)| one.total_cmp(other));
        // With every upstream under suspicion the suspicion is worth little, and
        // a refusal would be sure to harm the caller.
        let least = || {
            candidates
                .iter()
                .min_by_key(|(_, load)| load.shunned_until())
        };
        best.map(|(upstream, _)| upstream)
            .or_else(|| least().map(|(upstream, _)| *upstream))
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

    /// Counts a request that is sent to `upstream` and keeps it busy for `work`
    /// seconds before its answer begins; whether nothing else waits there.
    pub fn start(&mut self, upstream: &id::Upstream, work: f64) -> bool {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.in_flight += 1;
        load.pending += work;
        load.in_flight == 1
    }

    /// Forgets what was learnt of `upstream`, which started again under its id: it holds
    /// none of the requests that it had, and is as healthy as a new one.
    pub fn restart(&mut self, upstream: &id::Upstream) {
        self.loads.remove(upstream);
        *self.restarts.entry(upstream.clone()).or_default() += 1;
    }

    /// How often `upstream` was seen to start again. A request that began before counts
    /// no more: taken off the load of the new process, it would make it look idle.
    #[must_use]
    pub fn restarts(&self, upstream: &id::Upstream) -> u32 {
        self.restarts.get(upstream).copied().unwrap_or_default()
    }

    /// Takes off `work` seconds whose answer has begun or will not.
    pub fn begin(&mut self, upstream: &id::Upstream, work: f64) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.pending = (load.pending - work).max(0.0);
        }
    }

    /// Counts a request that no longer runs on `upstream`.
    pub fn finish(&mut self, upstream: &id::Upstream) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.in_flight = load.in_flight.saturating_sub(1);
            if load.in_flight == 0 {
                load.pending = 0.0;
            }
        }
    }

    /// Takes in what a request on `upstream` showed; whether it is left out
    /// from now on.
    pub fn note(&mut self, upstream: &id::Upstream, event: Event, now: time::Moment) -> bool {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.note(event, now, &self.options)
    }

    /// The loads that this VM causes.
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

    /// Takes in the loads of all VMs of the zone, of which this one had told `own`.
    pub fn set_others(&mut self, total: &Digest, own: &Digest, now: time::Moment) {
        self.others.set(total, own, now);
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

    /// Seconds that a request would lose on `upstream`.
    fn score(
        &self,
        upstream: &directory::Upstream,
        load: &Load,
        want: &Want<'_>,
        typical: &Typical,
        homes: &[&id::Upstream],
        now: time::Moment,
    ) -> f64 {
        let options = &self.options;
        let (pending, in_flight) = self.others.load(&upstream.id, now);
        let pending = load.pending + pending * options.others;
        let in_flight = f64::from(load.in_flight) + f64::from(in_flight) * options.others;
        let slowness = load.slowness(typical.latency);
        let remembers = homes.contains(&&upstream.id);
        let work = if remembers {
            want.work - want.shared * options.home
        } else {
            want.work
        };
        let full = (in_flight + 1.0) / f64::from(upstream.slots.max(1));
        let running = full * options.running + (full - options.roomy).max(0.0) * options.full;
        let is_far = upstream.zone != *want.zone;
        let far = if is_far { options.far } else { 0.0 };
        let failing = (load.failing - typical.failing).max(0.0) * options.failing;
        let slow = (slowness - 1.0).max(0.0) * options.slow;
        let draw = want::spread(want.draw, &upstream.id) * options.spread;
        (pending + work + running) * slowness + far + failing + slow + draw
    }
}

/// The upstreams of each zone that are likely to remember the start of the prompt:
/// those with the highest rendezvous score.
fn homes<'a>(
    candidates: &[(&'a Arc<directory::Upstream>, &Load)],
    want: &Want<'_>,
) -> Vec<&'a id::Upstream> {
    let Some(affinity) = want.affinity else {
        return Vec::new();
    };
    let mut best = HashMap::<&id::AvailabilityZone, (u64, &id::Upstream)>::new();
    for (upstream, _) in candidates {
        let score = affinity.score(want::key(&upstream.id));
        let home = best.entry(&upstream.zone).or_insert((score, &upstream.id));
        if score > home.0 {
            *home = (score, &upstream.id);
        }
    }
    best.into_values().map(|(_, id)| id).collect()
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
