//! Parts of an upstream's rate for each VM.

use std::time::Duration;

use crate::count;
use crate::throttle::{Options, Rate};

/// Fraction of the requests that an upstream tolerates which is assigned to senders. The rest is
/// headroom for VMs whose member lists differ or that do not know of the limit yet.
const ASSIGNED_FRACTION: f64 = 0.75;
/// Allowance for requests that arrive closer together than they were sent.
const JITTER: Duration = Duration::from_millis(200);
/// Rate at which an upstream that states a lower one is still asked whether its limit has ended,
/// per second.
const MIN_RATE: f64 = 0.25;
/// Time whose requests a sender may send at once after a pause.
const BURST: Duration = Duration::from_secs(1);

/// Parts of an upstream's rate for each VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allotment {
    /// Number of VMs that may send.
    pub senders: usize,
    /// Maximum sends of each in any window.
    pub per_window: usize,
    /// Window in which these are counted.
    pub window: Duration,
    /// Mean interval between the sends of each.
    pub interval: Duration,
    /// Maximum sends at once.
    pub burst: usize,
}

impl Allotment {
    /// Divides `rate` among `vms` VMs.
    ///
    /// There are as many senders as the tolerated requests allow, so that callers of many VMs are
    /// served; each sends at least once in a window.
    #[must_use]
    pub fn new(rate: Rate, vms: usize, options: &Options) -> Self {
        let window = options.window + JITTER;
        let rate = rate.per_second().max(MIN_RATE);
        let tolerated = rate * options.overage * options.window.as_secs_f64() + options.slack;
        let assigned = count::floor(tolerated * ASSIGNED_FRACTION);
        let wanted = count::floor((rate * window.as_secs_f64()).ceil());
        let per_window = wanted.div_ceil(vms.max(1)).clamp(1, assigned.max(1));
        let senders = (assigned / per_window).min(vms);
        let interval = count::to_f64(senders) / rate;
        let burst = count::floor(BURST.as_secs_f64() / interval);
        Self {
            senders,
            per_window,
            window,
            interval: Duration::try_from_secs_f64(interval).unwrap_or(Duration::MAX),
            burst: burst.clamp(1, per_window),
        }
    }

    /// Whether the VM with `rank` is a sender.
    #[must_use]
    pub fn includes(&self, rank: usize) -> bool {
        rank < self.senders
    }

    /// Whether the VM with `rank` among `vms` VMs is a sender `elapsed` after the senders began to
    /// take turns. Half as many send at a time, since those of two turns may meet.
    #[must_use]
    pub fn includes_in_turn(&self, rank: usize, vms: usize, elapsed: Duration) -> bool {
        let in_turn = (self.senders / 2).max(1);
        let turns = elapsed.as_nanos() / self.interval.as_nanos().max(1);
        let turns = usize::try_from(turns).unwrap_or(usize::MAX);
        let vms = vms.max(1);
        let first = turns.wrapping_mul(in_turn) % vms;
        (rank % vms + vms - first) % vms < in_turn
    }
}
