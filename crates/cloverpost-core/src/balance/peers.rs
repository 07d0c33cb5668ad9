//! Upstream load caused by other VMs.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::balance::{Digest, Ratios, Row};
use crate::id;
use crate::time;

/// Age at which a digest expires. Most prompts that it counts have been processed by then.
const DIGEST_LIFETIME: Duration = Duration::from_secs(1);

/// Upstream load caused by other VMs, from the total computed by one VM of the zone.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    loads: HashMap<id::Upstream, (f64, u32)>,
    /// Speed samples of other VMs.
    ratios: HashMap<id::Upstream, Ratios>,
    received: Option<time::Moment>,
}

impl PeerLoads {
    /// Replaces the peer loads with `total` minus `own`, the share this VM had reported.
    pub fn set(&mut self, total: &Digest, own: &Digest, now: time::Moment) {
        let own: HashMap<_, _> = own.rows.iter().map(|row| (&row.upstream, row)).collect();
        let loads = total.rows.iter().map(|row| {
            let own_row = own.get(&row.upstream);
            let pending = row.pending - own_row.map_or(0.0, |own_row| own_row.pending);
            let in_flight = row
                .in_flight
                .saturating_sub(own_row.map_or(0, |own_row| own_row.in_flight));
            (
                row.upstream.clone(),
                (f64::from(pending.max(0.0)), in_flight),
            )
        });
        self.loads = loads.collect();
        let ratios = total.rows.iter().filter_map(|row| {
            let own_ratios = own.get(&row.upstream).and_then(|own_row| own_row.ratios);
            let others = row.ratios?.minus(own_ratios.unwrap_or_default());
            Some((row.upstream.clone(), others))
        });
        self.ratios = ratios.collect();
        self.received = Some(now);
    }

    /// Whether the last total has expired.
    #[must_use]
    pub fn is_stale(&self, now: time::Moment) -> bool {
        self.received
            .is_none_or(|received| now.since(received) >= DIGEST_LIFETIME)
    }

    /// Pending seconds of work and in-flight requests of other VMs on `upstream`.
    #[must_use]
    pub fn load(&self, upstream: &id::Upstream, now: time::Moment) -> (f64, u32) {
        if self.is_stale(now) {
            return (0.0, 0);
        }
        self.loads.get(upstream).copied().unwrap_or_default()
    }

    /// Speed samples of other VMs of `upstream`.
    #[must_use]
    pub fn ratios(&self, upstream: &id::Upstream, now: time::Moment) -> Ratios {
        if self.is_stale(now) {
            return Ratios::NONE;
        }
        self.ratios.get(upstream).copied().unwrap_or_default()
    }
}

/// Sums the loads reported by the VMs of a zone.
#[derive(Clone, Debug, Default)]
pub struct Aggregator {
    digests: BTreeMap<id::Vm, (time::Moment, Digest)>,
}

impl Aggregator {
    /// Stores the load reported by `vm`.
    pub fn insert(&mut self, vm: id::Vm, digest: Digest, now: time::Moment) {
        self.digests.insert(vm, (now, digest));
    }

    /// Drops expired reports and returns whether any remain.
    pub fn has_reports(&mut self, now: time::Moment) -> bool {
        self.digests
            .retain(|_, (received, _)| now.since(*received) < DIGEST_LIFETIME);
        !self.digests.is_empty()
    }

    /// Total of the stored reports and `own`.
    #[must_use]
    pub fn total(&self, own: &Digest) -> Digest {
        let mut total = BTreeMap::<&id::Upstream, (f32, u32, Option<Ratios>)>::new();
        let received = self.digests.values().map(|(_, digest)| digest);
        for row in received.chain([own]).flat_map(|digest| &digest.rows) {
            let sum = total.entry(&row.upstream).or_default();
            sum.0 += row.pending;
            sum.1 += row.in_flight;
            sum.2 = match (sum.2, row.ratios) {
                (Some(one), Some(other)) => Some(one.plus(other)),
                // A sum also bounds what one VM reports.
                (one, other) => one.or(other).map(|ratios| ratios.plus(Ratios::NONE)),
            };
        }
        let rows = total
            .into_iter()
            .map(|(upstream, (pending, in_flight, ratios))| Row {
                upstream: upstream.clone(),
                pending,
                in_flight,
                ratios,
            });
        Digest {
            rows: rows.collect(),
        }
    }
}
