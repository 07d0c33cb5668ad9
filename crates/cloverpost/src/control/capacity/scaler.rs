//! Scales the number of awake replicas of one pool with its demand.

use std::time::Duration;

use cloverpost_core::{capacity, catalogue, id, order};
use cloverpost_platform::{table, weights};

use crate::front;
use crate::lease::{self, acquire, order::reconcile};
use crate::snapshot;

/// Interval between scaling decisions.
const SCALING_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum duration of one attempt to acquire the lease.
const ACQUIRE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time to reconcile one replica after a decision.
const RECONCILE_TIMEOUT: Duration = Duration::from_secs(3);

/// Scales the replicas of one pool while this VM holds the pool's lease.
pub struct Scaler<T, W> {
    front: front::State,
    weights: W,
    lease: lease::Lease<T>,
    pool: id::Pool,
    autoscaler: Option<capacity::Autoscaler>,
}

impl<T: table::Table, W: weights::Weights> Scaler<T, W> {
    /// A scaler of `pool` that does not hold the lease yet.
    pub const fn new(
        front: front::State,
        weights: W,
        lease: lease::Lease<T>,
        pool: id::Pool,
    ) -> Self {
        Self {
            front,
            weights,
            lease,
            pool,
            autoscaler: None,
        }
    }

    /// Contends for the lease, and scales the pool while it is held.
    pub async fn run(mut self) {
        loop {
            let options = acquire::Options {
                timeout: ACQUIRE_TIMEOUT,
            };
            match self.lease.acquire(options).await {
                Ok(acquire::Outcome::Held) => self.scale().await,
                Ok(acquire::Outcome::Busy) => {}
                Err(error) => {
                    log::debug!(
                        "failed to acquire the capacity lease of pool {}: {error}",
                        self.pool
                    );
                    tokio::time::sleep(SCALING_INTERVAL).await;
                }
            }
        }
    }

    /// Scales the pool until the lease is lost.
    async fn scale(&mut self) {
        log::info!("acquired the capacity lease of pool {}", self.pool);
        // Forecasts from an earlier term are out of date.
        self.autoscaler = None;
        let lease = self.lease.clone();
        let lease_lost = lease.renew_until_lost();
        tokio::pin!(lease_lost);
        loop {
            tokio::select! {
                _ = &mut lease_lost => return,
                () = self.reconcile_pool() => {}
            }
            tokio::time::sleep(SCALING_INTERVAL).await;
        }
    }

    async fn reconcile_pool(&mut self) {
        let snapshot = self.front.snapshot.load_full();
        let Some(pool) = snapshot.catalogue.pool(&self.pool) else {
            return;
        };
        let mut replicas = snapshot.pool(&self.pool).to_vec();
        replicas.sort_by(|left, right| left.name.cmp(&right.name));
        let Some(target) = self.target(pool, &replicas) else {
            return;
        };
        let targets = order_targets(&snapshot.catalogue, &self.pool);
        for (replica, awake) in select_states(&replicas, target) {
            self.reconcile_replica(pool, replica, awake, &targets).await;
        }
    }

    /// Target number of awake replicas.
    fn target(
        &mut self,
        pool: &catalogue::Upstream,
        replicas: &[snapshot::Upstream],
    ) -> Option<u32> {
        let spare = pool.spare.as_ref()?;
        let max_replicas = u32::try_from(replicas.len()).unwrap_or(u32::MAX);
        let demand: u32 = replicas.iter().map(snapshot::Upstream::requests).sum();
        let awake = replicas
            .iter()
            .filter(|replica| !replica.is_asleep())
            .count();
        let awake = u32::try_from(awake).unwrap_or(u32::MAX);
        let autoscaler = self
            .autoscaler
            .get_or_insert_with(|| capacity::Autoscaler::new(spare.options(max_replicas)));
        let target = autoscaler.target(f64::from(demand), awake, self.front.clock.now());
        let gauge = &self.front.metrics.replicas_wanted;
        gauge
            .with_label_values(&[self.pool.as_str()])
            .set(target.into());
        Some(target)
    }

    async fn reconcile_replica(
        &self,
        pool: &catalogue::Upstream,
        replica: &snapshot::Upstream,
        awake: bool,
        targets: &[order::Target],
    ) {
        if awake && !self.reserve_weights(replica, targets).await {
            return;
        }
        let state = if awake {
            order::State::Loaded
        } else {
            order::State::Sleeping
        };
        let goal = |target: &order::Target| order::Goal {
            target: target.clone(),
            state,
        };
        let options = reconcile::Options {
            goals: targets.iter().map(goal).collect(),
            fencing: pool.fencing,
            order: order::Options::default(),
            timeout: RECONCILE_TIMEOUT,
        };
        let engine = lease::order::Http::new(replica.address);
        let outcome = self.lease.reconcile(&engine, &options).await;
        log::debug!(
            "reconciled {} with awake = {awake}: {outcome:?}",
            replica.name
        );
    }

    /// Whether the replica may be woken: it is awake already, or the weight store grants
    /// the load of all its versions.
    async fn reserve_weights(
        &self,
        replica: &snapshot::Upstream,
        targets: &[order::Target],
    ) -> bool {
        if !replica.is_asleep() {
            return true;
        }
        for target in targets {
            let grant = self.weights.reserve(&target.model, &target.version).await;
            if grant != Ok(weights::Grant::Granted) {
                return false;
            }
        }
        true
    }
}

/// The versions that the replicas of `pool` serve.
fn order_targets(catalogue: &catalogue::Catalogue, pool: &id::Pool) -> Vec<order::Target> {
    catalogue
        .entries()
        .filter(|entry| entry.pool == *pool && entry.state.takes_session())
        .filter_map(|entry| {
            Some(order::Target {
                model: entry.model.clone()?,
                version: entry.version.clone(),
            })
        })
        .collect()
}

/// Selects for each replica whether it should be awake.
///
/// Replicas that are awake are preferred, busy ones first. A busy replica is never put to
/// sleep, even if more than `target` then stay awake; one beyond `target` is left out of
/// the result.
fn select_states(
    replicas: &[snapshot::Upstream],
    target: u32,
) -> impl Iterator<Item = (&snapshot::Upstream, bool)> {
    let mut ranked: Vec<_> = replicas.iter().collect();
    ranked.sort_by_key(|replica| (replica.is_asleep(), replica.requests() == 0));
    let target = usize::try_from(target).unwrap_or(usize::MAX);
    ranked
        .into_iter()
        .enumerate()
        .filter_map(move |(rank, replica)| {
            let awake = rank < target;
            let busy = replica.requests() > 0;
            (awake || !busy).then_some((replica, awake))
        })
}
