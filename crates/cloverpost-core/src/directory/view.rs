//! Indexes that the request path reads.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

use crate::directory::{Exceptions, Image, Index, Order, Progress, State, Upstream};
use crate::id;

/// The versions of a service that may receive requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Allowed {
    /// All upstreams run the same version, or versions are not restricted.
    Any,
    /// Only this version.
    Only(id::Version),
    /// Every version except this one, which was reverted or whose rollout has not started.
    Except(id::Version),
    /// A rollout is in progress: a share of the requests goes to `target`.
    Rollout(Rollout),
}

/// A rollout that is in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// Version that the order's row had when the rollout began; identifies the rollout.
    pub order: crate::directory::Version,
    /// The version that is replaced, if known.
    pub base: Option<id::Version>,
    /// The version that is rolled out.
    pub target: id::Version,
    /// The store's clock at the start of the rollout, in milliseconds.
    pub started_ms: u64,
    /// The store's clock when the order was first seen, in milliseconds.
    pub ordered_ms: u64,
    /// Time in which the rollout must complete, in milliseconds.
    pub duration_ms: u64,
}

/// The upstreams of a service and the versions that may be used.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Upstreams that are not leaving.
    pub upstreams: Vec<Arc<Upstream>>,
    /// Versions that may receive requests.
    pub allowed: Allowed,
}

impl Pool {
    /// The upstreams of this pool that are not in `other`.
    pub fn difference(&self, other: Option<&Self>) -> impl Iterator<Item = &Arc<Upstream>> {
        // A set avoids a quadratic search in pools of thousands of upstreams.
        let others = other.into_iter().flat_map(|pool| &pool.upstreams);
        let others: HashSet<_> = others.map(|one| &one.id).collect();
        let upstreams = self.upstreams.iter();
        upstreams.filter(move |one| !others.contains(&one.id))
    }
}

/// Indexes over one state of an [`Image`].
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration; `None` until one is known.
    pub index: Option<Arc<Index>>,
    /// Pools by service, without upstreams in evacuated zones.
    pub pools: BTreeMap<id::Pool, Pool>,
    /// Availability zones whose upstreams receive no new work.
    pub evacuated: BTreeSet<id::AvailabilityZone>,
}

impl View {
    /// Indexes `image` with `exceptions` to its upstreams. Reuses the configuration index of `last`
    /// if the configuration has not changed.
    #[must_use]
    pub fn new(image: &Image, exceptions: &Exceptions<'_>, last: &Self) -> Self {
        let configuration = image.configuration.rows.values().next();
        let index = configuration.map(|row| match &last.index {
            Some(index) if index.number() == row.value.number => index.clone(),
            _ => Arc::new(Index::new(&row.value)),
        });
        let evacuations = image.evacuations.rows.values();
        let evacuated: BTreeSet<_> = evacuations.map(|row| row.value.zone.clone()).collect();
        let mut pools = BTreeMap::<id::Pool, Pool>::new();
        let listed = image.upstreams.rows.values().map(|row| &row.value);
        let listed = listed.filter(|one| !one.is_leaving);
        let listed = listed.filter(|one| !exceptions.withheld.contains(one.id.as_str()));
        // Excluding evacuated zones here covers every selection: first sends, retries, resumed
        // streams and the evaluation of new versions.
        let usable = listed.chain(exceptions.retained.iter().copied());
        let usable = usable.filter(|one| !evacuated.contains(&one.zone));
        for upstream in usable {
            let pool = pools
                .entry(upstream.service.clone())
                .or_insert_with(|| Pool {
                    upstreams: Vec::new(),
                    allowed: allowed_versions(image, &upstream.service),
                });
            pool.upstreams.push(Arc::new(upstream.clone()));
        }
        Self {
            index,
            pools,
            evacuated,
        }
    }

    /// The upstreams of all services.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.pools.values().flat_map(|pool| &pool.upstreams)
    }
}

/// The versions of `service` that may receive requests.
fn allowed_versions(image: &Image, service: &id::Pool) -> Allowed {
    let progress = image
        .progress
        .rows
        .get(service.as_str())
        .map(|row| &row.value);
    let Some(order) = image.orders.rows.get(service.as_str()) else {
        return image
            .upstreams
            .rows
            .values()
            .map(|row| &row.value)
            .filter(|one| one.service == *service)
            .fold(VersionCounts::default(), VersionCounts::count)
            .allowed();
    };
    match progress {
        Some(progress) if progress.belongs_to(&order.value, order.version) => {
            after_start(&order.value, progress)
        }
        before => before_start(image, &order.value, before),
    }
}

/// The versions that may receive requests between an order and the start of its rollout. A
/// version that no upstream runs any more is not used as the base, because the service would then
/// refuse every request.
fn before_start(image: &Image, order: &Order, before: Option<&Progress>) -> Allowed {
    let other = before.filter(|before| before.target != order.target);
    let base = other.and_then(|_| base(image, order));
    let runs = |version: &id::Version| {
        let mut upstreams = image.upstreams.rows.values().map(|row| &row.value);
        upstreams.any(|one| one.service == order.service && one.version == *version)
    };
    match base.filter(runs) {
        Some(base) => Allowed::Only(base),
        None => Allowed::Except(order.target.clone()),
    }
}

fn after_start(order: &Order, progress: &Progress) -> Allowed {
    match progress.state {
        State::Completed => Allowed::Only(progress.target.clone()),
        State::Reverted => Allowed::Except(progress.target.clone()),
        State::InProgress => Allowed::Rollout(Rollout {
            order: progress.rollout,
            base: progress.base.clone(),
            target: progress.target.clone(),
            started_ms: progress.started_ms,
            ordered_ms: progress.ordered_ms,
            duration_ms: u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX),
        }),
    }
}

/// The version that `order` replaces: the one that the previous rollout ended on, else the one
/// that most upstreams run.
///
/// Upstreams of a reverted version may still be listed for some seconds when the next order
/// arrives. That version is never the base; otherwise sessions and callers would return to it.
#[must_use]
pub fn base(image: &Image, order: &Order) -> Option<id::Version> {
    let before = image.progress.rows.get(order.service.as_str());
    let before = before.map(|row| &row.value);
    let previous = before.and_then(|before| before.base_for(order));
    if let Some(previous) = previous {
        return Some(previous.clone());
    }
    if before.is_some_and(|before| before.state == State::InProgress) {
        // This order superseded a rollout in progress: sessions use either version and stay
        // there.
        return None;
    }
    let reverted = before.filter(|before| before.state == State::Reverted);
    let reverted = reverted.map(|before| &before.target);
    let upstreams = image.upstreams.rows.values().map(|row| &row.value);
    upstreams
        .filter(|one| one.service == order.service && one.version != order.target)
        .filter(|one| Some(&one.version) != reverted)
        .fold(VersionCounts::default(), VersionCounts::count)
        .most_common()
        .cloned()
}

/// Number of upstreams by version.
///
/// Upstreams and orders arrive on different feeds. A new version that appears before its order
/// must wait for it, because the limit on its share of the requests applies only once the rollout
/// has started.
#[derive(Default)]
struct VersionCounts<'a>(BTreeMap<&'a id::Version, usize>);

impl<'a> VersionCounts<'a> {
    fn count(mut self, upstream: &'a Upstream) -> Self {
        *self.0.entry(&upstream.version).or_default() += 1;
        self
    }

    fn allowed(self) -> Allowed {
        if self.0.len() < 2 {
            return Allowed::Any;
        }
        let most = self.most_common();
        most.map_or(Allowed::Any, |version| Allowed::Only(version.clone()))
    }

    /// The version that most upstreams run.
    fn most_common(self) -> Option<&'a id::Version> {
        let counts = self.0.into_iter();
        let most = counts.max_by_key(|(version, count)| (*count, std::cmp::Reverse(*version)));
        most.map(|(version, _)| version)
    }
}
