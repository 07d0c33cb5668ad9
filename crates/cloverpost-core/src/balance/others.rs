//! Loads that other VMs cause.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::balance::{Digest, Row};
use crate::id;
use crate::time;

/// Age from which on a digest counts no more. Most prompts are read by then.
const STALE: Duration = Duration::from_secs(1);

/// Loads that other VMs cause, as one of the zone has summed them.
#[derive(Clone, Debug, Default)]
pub struct Others {
    loads: HashMap<id::Upstream, (f64, u32)>,
    told: Option<time::Moment>,
}

impl Others {
    /// Takes in a sum of all VMs, of which this one had told `own`.
    pub fn set(&mut self, total: &Digest, own: &Digest, now: time::Moment) {
        let own: HashMap<_, _> = own.rows.iter().map(|row| (&row.upstream, row)).collect();
        let loads = total.rows.iter().map(|row| {
            let mine = own.get(&row.upstream);
            let pending = row.pending - mine.map_or(0.0, |mine| mine.pending);
            let in_flight = row
                .in_flight
                .saturating_sub(mine.map_or(0, |mine| mine.in_flight));
            (
                row.upstream.clone(),
                (f64::from(pending.max(0.0)), in_flight),
            )
        });
        self.loads = loads.collect();
        self.told = Some(now);
    }

    /// Whether the last sum is too old to count.
    #[must_use]
    pub fn is_stale(&self, now: time::Moment) -> bool {
        self.told.is_none_or(|told| now.since(told) >= STALE)
    }

    /// Seconds of work and requests of others on `upstream`.
    #[must_use]
    pub fn load(&self, upstream: &id::Upstream, now: time::Moment) -> (f64, u32) {
        if self.is_stale(now) {
            return (0.0, 0);
        }
        self.loads.get(upstream).copied().unwrap_or_default()
    }
}

/// Sums what the VMs of a zone tell.
#[derive(Clone, Debug, Default)]
pub struct Sum {
    digests: BTreeMap<id::Vm, (time::Moment, Digest)>,
}

impl Sum {
    /// Takes in the loads that `vm` causes.
    pub fn take(&mut self, vm: id::Vm, digest: Digest, now: time::Moment) {
        self.digests.insert(vm, (now, digest));
    }

    /// Whether any VM has told its loads lately.
    pub fn is_asked(&mut self, now: time::Moment) -> bool {
        self.digests.retain(|_, (told, _)| now.since(*told) < STALE);
        !self.digests.is_empty()
    }

    /// The loads of all that have told theirs lately, and of `own`.
    #[must_use]
    pub fn total(&self, own: &Digest) -> Digest {
        let mut total = BTreeMap::<&id::Upstream, (f32, u32)>::new();
        let told = self.digests.values().map(|(_, digest)| digest);
        for row in told.chain([own]).flat_map(|digest| &digest.rows) {
            let sum = total.entry(&row.upstream).or_default();
            sum.0 += row.pending;
            sum.1 += row.in_flight;
        }
        let rows = total
            .into_iter()
            .map(|(upstream, (pending, in_flight))| Row {
                upstream: upstream.clone(),
                pending,
                in_flight,
            });
        Digest {
            rows: rows.collect(),
        }
    }
}
