//! What upstreams say of themselves.

use std::time::Duration;

use crate::admission::Gate;
use crate::balance::Balancer;
use crate::directory::{Pool, Upstream, View};
use crate::quota::Senders;
use crate::{cold, fragile, id, pushback, throttle, time};

/// What upstreams say of themselves, and this VM's requests to them.
#[derive(Clone, Debug)]
pub struct Register {
    /// Cold upstreams.
    pub cold: cold::Register,
    /// Rates that upstreams state.
    pub throttle: throttle::Register,
    /// Services whose upstreams fail when they reject too many requests.
    pub fragile: fragile::Register,
    /// Upstreams that ask for no requests.
    pub pushback: pushback::Register,
}

impl Register {
    /// Creates a register to which no upstream has said anything.
    #[must_use]
    pub fn new(cold: cold::Options, throttle: throttle::Options, senders: Senders) -> Self {
        Self {
            cold: cold::Register::new(cold, senders.clone()),
            throttle: throttle::Register::new(throttle, senders.clone()),
            fragile: fragile::Register::new(senders),
            pushback: pushback::Register::default(),
        }
    }

    /// Updates the VMs among which rates and places are divided.
    pub fn set_senders(&mut self, senders: Senders, now: time::Moment) {
        self.cold.set_senders(senders.clone());
        self.fragile.set_senders(senders.clone());
        self.throttle.set_senders(senders, now);
    }

    /// Records the load of the upstreams of `service`, which its gate goes by.
    pub fn prepare(
        &mut self,
        service: &id::Pool,
        pool: &Pool,
        balancer: &Balancer,
        now: time::Moment,
    ) {
        if self.fragile.limit(service).is_none() {
            return;
        }
        let loads = pool.upstreams.iter();
        let loads = loads.map(|one| fragile::Load::of(balancer, &one.id, now));
        let load = loads.reduce(fragile::Load::plus).unwrap_or_default();
        self.fragile
            .prepare(service, pool.upstreams.iter(), load, now);
    }

    /// The gate of `service` at `now`.
    #[must_use]
    pub fn gate<'a>(
        &'a self,
        service: &id::Pool,
        balancer: &'a Balancer,
        now: time::Moment,
    ) -> Gate<'a> {
        Gate::new(self, service, balancer, now)
    }

    /// Whether `upstream` takes a request now, by what it states of itself.
    #[must_use]
    pub fn is_open(&self, upstream: &id::Upstream, now: time::Moment) -> bool {
        self.pushback.admits(upstream, now) && self.throttle.admits(upstream, now)
    }

    /// Time until `upstream` is neither resting nor cold; `None` if it leaves.
    #[must_use]
    pub fn time_until_open(&self, upstream: &id::Upstream, now: time::Moment) -> Option<Duration> {
        let rest = self.pushback.time_until_open(upstream, now)?;
        Some(rest.max(self.cold.time_until_warm(upstream, now)))
    }

    /// Records a request that is sent to `upstream`.
    pub fn record_send(&mut self, upstream: &Upstream, now: time::Moment) {
        self.cold.record_send(&upstream.id, now);
        self.throttle.record_send(&upstream.id, now);
        self.fragile.record_send(upstream, now);
        self.pushback.record_send(&upstream.id, now);
    }

    /// Forgets what the earlier process of `upstream` said.
    pub fn restart(&mut self, upstream: &id::Upstream, now: time::Moment) {
        self.throttle.restart(upstream, now);
        self.fragile.restart(upstream);
        self.pushback.restart(upstream);
    }

    /// Drops what is known of upstreams that are not in `view`.
    pub fn retain(&mut self, view: &View, now: time::Moment) {
        self.throttle.retain(view, now);
        self.fragile.retain(view);
        self.pushback.retain(view, now);
    }
}
