//! When rejected callers may return.

use std::collections::HashMap;
use std::time::Duration;

use crate::throttle::Rate;
use crate::{id, time};

/// Longest time that a caller is asked to stay away; the limits may have ended by then.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Assigns to the rejected callers of a service different times to return, at the rate at which
/// its upstreams take requests. If all were told the same time, all but one would be rejected
/// again.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    last: HashMap<id::Pool, time::Moment>,
}

impl Returns {
    /// The time after which the next rejected caller of `service` may return, if its upstreams
    /// take `rate` from `vms` VMs.
    pub fn assign(
        &mut self,
        service: &id::Pool,
        rate: Rate,
        vms: usize,
        now: time::Moment,
    ) -> Duration {
        let vms = u32::try_from(vms.max(1)).unwrap_or(u32::MAX);
        let interval = f64::from(vms) / rate.per_second();
        let interval = Duration::try_from_secs_f64(interval).unwrap_or(MAX_WAIT);
        let last = self.last.entry(service.clone()).or_default();
        let next = (*last).max(now) + interval;
        *last = next.min(now + MAX_WAIT);
        last.since(now)
    }
}
