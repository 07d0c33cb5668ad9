//! Decides which upstreams of a service may get a request.

use std::sync::Arc;

use crate::admission::Register;
use crate::balance::{Balancer, Criteria};
use crate::directory::{Pool, Upstream};
use crate::{fragile, id, time};

/// Decides which upstreams of a service may get a request at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Gate<'a> {
    register: &'a Register,
    balancer: &'a Balancer,
    is_fragile: bool,
    /// Whether requests beyond this VM's shares of fragile upstreams are admitted.
    admits_excess: bool,
    now: time::Moment,
}

impl<'a> Gate<'a> {
    pub(super) fn new(
        register: &'a Register,
        service: &id::Pool,
        balancer: &'a Balancer,
        now: time::Moment,
    ) -> Self {
        Self {
            register,
            balancer,
            is_fragile: register.fragile.limit(service).is_some(),
            admits_excess: false,
            now,
        }
    }

    /// Admits requests beyond this VM's shares if the upstreams of `service`, those of `pool`, are
    /// lightly loaded.
    #[must_use]
    pub fn with_excess(self, service: &id::Pool, pool: &Pool) -> Self {
        let slots = pool.upstreams.iter().map(|upstream| upstream.slots);
        let slots = slots.fold(0, u32::saturating_add);
        Self {
            admits_excess: self.register.fragile.is_light(service, slots, self.now),
            ..self
        }
    }

    /// Chooses among `candidates` by `criteria`, those first that should get the request.
    #[must_use]
    pub fn choose<'b>(
        &self,
        candidates: &[&'b Arc<Upstream>],
        criteria: &Criteria<'_>,
    ) -> Option<&'b Arc<Upstream>> {
        let candidates = || candidates.iter().copied();
        let admitted = || candidates().filter(|upstream| self.admits(upstream));
        let preferred = admitted().filter(|one| self.prefers(one));
        let preferred = self.balancer.choose(preferred, criteria, self.now);
        let chosen = preferred.or_else(|| self.balancer.choose(admitted(), criteria, self.now));
        chosen.or_else(|| {
            let last_resort = candidates().filter(|one| self.admits_as_last_resort(one));
            self.balancer.choose(last_resort, criteria, self.now)
        })
    }

    /// Whether this VM's share of `upstream` has a place for a request.
    #[must_use]
    pub fn has_place(&self, upstream: &Upstream) -> bool {
        let in_flight = self.balancer.in_flight(&upstream.id);
        let fragile = &self.register.fragile;
        self.is_open(upstream) && fragile.has_place(upstream, in_flight, self.now)
    }

    /// Whether `upstream` may get a request.
    #[must_use]
    pub fn admits(&self, upstream: &Upstream) -> bool {
        self.is_usable(upstream) && self.register.cold.admits(&upstream.id, self.now)
    }

    /// Whether `upstream` may get a request that no other may get. It may be suspected to be cold.
    #[must_use]
    pub fn admits_as_last_resort(&self, upstream: &Upstream) -> bool {
        let cold = &self.register.cold;
        self.is_usable(upstream) && cold.admits_as_last_resort(&upstream.id, self.now)
    }

    /// Whether `upstream`, which is admitted, should get the request rather than others.
    fn prefers(&self, upstream: &Upstream) -> bool {
        let id = &upstream.id;
        self.register.throttle.prefers(id, self.now) && self.balancer.is_available(id, self.now)
    }

    fn is_open(&self, upstream: &Upstream) -> bool {
        self.register.is_open(&upstream.id, self.now)
    }

    /// Whether what `upstream` states of itself permits a request.
    fn is_usable(&self, upstream: &Upstream) -> bool {
        let fits = || {
            let load = fragile::Load::of(self.balancer, &upstream.id, self.now);
            let fragile = &self.register.fragile;
            fragile.admits(upstream, load, self.admits_excess, self.now)
        };
        self.is_open(upstream) && (!self.is_fragile || fits())
    }
}
