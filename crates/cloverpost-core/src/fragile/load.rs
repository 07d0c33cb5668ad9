//! What a VM knows of the requests on an upstream or all of a service.

use crate::balance::Balancer;
use crate::{id, time};

/// Requests in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Those of this VM.
    pub own: usize,
    /// Those of all VMs of this availability zone; `None` if there was no report lately.
    pub zone: Option<usize>,
}

impl Load {
    /// What this VM knows of the requests on `upstream`.
    #[must_use]
    pub fn of(balancer: &Balancer, upstream: &id::Upstream, now: time::Moment) -> Self {
        let own = balancer.in_flight(upstream);
        let peers = balancer.in_flight_of_peers(upstream, now);
        Self {
            own,
            zone: peers.map(|peers| own + peers),
        }
    }

    /// The sum of two loads.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            own: self.own + other.own,
            zone: self.zone.zip(other.zone).map(|(one, other)| one + other),
        }
    }

    /// Estimate for all `vms` VMs, of which `zone_vms` are in this VM's availability zone. Without a
    /// report the others are taken to have as many as this one.
    #[must_use]
    pub fn estimate(&self, vms: usize, zone_vms: usize) -> usize {
        match self.zone {
            Some(zone) => (zone.max(self.own) * vms).div_ceil(zone_vms.max(1)),
            None => self.own * vms,
        }
    }
}
