//! Part of the requests in flight on an upstream that one VM may have.

use std::time::Duration;

use crate::count;
use crate::throttle::Rate;

/// Part of the stated rejections by which the requests in flight may exceed the slots. The rest is
/// headroom for VMs whose member lists differ, and for those without a place.
const EXCESS_FRACTION: f64 = 0.5;
/// Part of the stated rejections that VMs without a place may cause.
const UNPLACED_FRACTION: f64 = 0.125;
/// Rate of these requests from all VMs if an upstream survives no rejections, per second.
const MIN_UNPLACED_RATE: f64 = 0.05;

/// Part of the requests in flight on an upstream that one VM may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Requests that may be in flight.
    pub places: usize,
    /// Interval between the requests of a VM without a place, which show that the upstream is no
    /// longer fragile.
    pub unplaced_interval: Duration,
}

impl Share {
    /// The share of the VM with `rank` among `vms` VMs on an upstream with `slots` that survives
    /// `limit`. A VM without a rank has no place.
    #[must_use]
    pub fn new(limit: Rate, slots: u32, vms: usize, rank: Option<usize>) -> Self {
        let excess = count::floor(limit.per_second() * EXCESS_FRACTION);
        let slots = usize::try_from(slots).unwrap_or(usize::MAX);
        let places = slots.saturating_add(excess);
        let vms = vms.max(1);
        let own = |rank| places / vms + usize::from(rank < places % vms);
        let rate = (limit.per_second() * UNPLACED_FRACTION).max(MIN_UNPLACED_RATE);
        let interval = Duration::try_from_secs_f64(count::to_f64(vms) / rate);
        Self {
            places: rank.map_or(0, own),
            unplaced_interval: interval.unwrap_or(Duration::MAX),
        }
    }

    /// Requests a second that the VM may send if each keeps its place for `held` seconds.
    #[must_use]
    pub fn rate(&self, held: f64) -> f64 {
        if self.places == 0 {
            1.0 / self.unplaced_interval.as_secs_f64()
        } else {
            count::to_f64(self.places) / held
        }
    }
}
