//! What the request path reads.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

use crate::directory::{Image, Index, Order, Progress, State, Upstream};
use crate::id;

/// The versions of a service that take requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Allowed {
    /// All upstreams run one version, or which one runs is not known to matter.
    Any,
    /// This version only.
    Only(id::Version),
    /// Every version but this one, which was found bad or waits for its start.
    Except(id::Version),
    /// A roll-out is under way: a share of the requests goes to `target`.
    Rollout(Rollout),
}

/// A roll-out that is under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// Version of the order's row; tells roll-outs apart.
    pub order: crate::directory::Version,
    /// The version that the service moves away from, where that is known.
    pub base: Option<id::Version>,
    /// The version that the service moves to.
    pub target: id::Version,
    /// Reading of the store's clock at its start, in milliseconds.
    pub started_ms: u64,
    /// The same when its order was learnt of.
    pub ordered_ms: u64,
    /// Time within which it is to be done, in milliseconds.
    pub duration_ms: u64,
}

/// The upstreams of a service and which of them may be used.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Upstreams that have not said that they leave.
    pub upstreams: Vec<Arc<Upstream>>,
    /// Versions that take requests.
    pub allowed: Allowed,
}

impl Pool {
    /// The upstreams of this pool that `other` has not.
    pub fn without(&self, other: Option<&Self>) -> impl Iterator<Item = &Arc<Upstream>> {
        // Searched one by one, 3,000 upstreams take 15.7 ms of a whole core at each change of one
        // (0.3 ms with the set; release build, best of seven), and a VM may have an eighth.
        let others = other.into_iter().flat_map(|pool| &pool.upstreams);
        let others: HashSet<_> = others.map(|one| &one.id).collect();
        let upstreams = self.upstreams.iter();
        upstreams.filter(move |one| !others.contains(&one.id))
    }
}

/// Indexes over one state of an [`Image`].
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration; `None` before any is known.
    pub index: Option<Arc<Index>>,
    /// Pools by service; upstreams of evacuated zones are in none.
    pub pools: BTreeMap<id::Pool, Pool>,
    /// Availability zones whose upstreams get no new work.
    pub evacuated: BTreeSet<id::AvailabilityZone>,
}

impl View {
    /// Indexes `image` and the upstreams `missing` from it that are still used; the
    /// index of the configuration is taken from `last` if that has not changed.
    #[must_use]
    pub fn new(image: &Image, missing: &[&Upstream], last: &Self) -> Self {
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
        // Left out here, they are out of reach of every choice: of first sends, of retries, of
        // streams that go on elsewhere, of what proves a new version.
        let usable = listed.chain(missing.iter().copied());
        let usable = usable.filter(|one| !evacuated.contains(&one.zone));
        for upstream in usable {
            let pool = pools
                .entry(upstream.service.clone())
                .or_insert_with(|| Pool {
                    upstreams: Vec::new(),
                    allowed: allowed(image, &upstream.service),
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

/// Which versions of `service` take requests.
fn allowed(image: &Image, service: &id::Pool) -> Allowed {
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
            .fold(Versions::default(), Versions::count)
            .allowed();
    };
    match progress {
        Some(progress) if progress.answers(&order.value, order.version) => {
            under_way(&order.value, progress)
        }
        before => ordered(image, &order.value, before),
    }
}

/// Versions that take requests between an order and its start. A version that nothing
/// runs any more is no base: a service that refused everything would harm more.
fn ordered(image: &Image, order: &Order, before: Option<&Progress>) -> Allowed {
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

fn under_way(order: &Order, progress: &Progress) -> Allowed {
    match progress.state {
        State::Completed => Allowed::Only(progress.target.clone()),
        State::Reverted => Allowed::Except(progress.target.clone()),
        State::InProgress => Allowed::Rollout(Rollout {
            order: progress.order,
            base: progress.base.clone(),
            target: progress.target.clone(),
            started_ms: progress.started_ms,
            ordered_ms: progress.ordered_ms,
            duration_ms: u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX),
        }),
    }
}

/// The version that `order` moves its service away from: the one that the roll-out before
/// left it on, else the one that most of its upstreams run.
///
/// A version that was just found bad runs on for some seconds, and may be listed when the
/// next order comes; it is no base, or its sessions and callers go back to it.
#[must_use]
pub fn base(image: &Image, order: &Order) -> Option<id::Version> {
    let before = image.progress.rows.get(order.service.as_str());
    let before = before.map(|row| &row.value);
    let left_on = before.and_then(|before| before.base_of(order));
    if let Some(left_on) = left_on {
        return Some(left_on.clone());
    }
    if before.is_some_and(|before| before.state == State::InProgress) {
        // Cut short by this order: sessions are on either version, and stay there.
        return None;
    }
    let reverted = before.filter(|before| before.state == State::Reverted);
    let reverted = reverted.map(|before| &before.target);
    let upstreams = image.upstreams.rows.values().map(|row| &row.value);
    upstreams
        .filter(|one| one.service == order.service && one.version != order.target)
        .filter(|one| Some(&one.version) != reverted)
        .fold(Versions::default(), Versions::count)
        .most()
        .cloned()
}

/// How many upstreams run each version.
///
/// A version that appears before the order that brings it must wait for it:
/// upstreams and orders come by different feeds, and a request that reaches the
/// new version before its roll-out counts against it.
#[derive(Default)]
struct Versions<'a>(BTreeMap<&'a id::Version, usize>);

impl<'a> Versions<'a> {
    fn count(mut self, upstream: &'a Upstream) -> Self {
        *self.0.entry(&upstream.version).or_default() += 1;
        self
    }

    fn allowed(self) -> Allowed {
        if self.0.len() < 2 {
            return Allowed::Any;
        }
        let most = self.most();
        most.map_or(Allowed::Any, |version| Allowed::Only(version.clone()))
    }

    /// The version that most upstreams run.
    fn most(self) -> Option<&'a id::Version> {
        let counts = self.0.into_iter();
        let most = counts.max_by_key(|(version, count)| (*count, std::cmp::Reverse(*version)));
        most.map(|(version, _)| version)
    }
}
