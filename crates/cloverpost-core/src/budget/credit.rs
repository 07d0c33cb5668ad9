//! Fleet-wide repeat budget: the part of one VM for one service.

use crate::budget::Limits;
use crate::budget::window::WindowCounter;
use crate::time;

/// Credit of one VM for repeating requests to one service.
///
/// Each first send earns a fraction of a repeat. In any window a VM sends at most the credit it
/// had at the start of the window plus what the first sends of the window earn. The credit is
/// capped in proportion to the first sends of the preceding window, so the repeats of all VMs
/// stay below the share of the requests plus the fleet's slack, provided that the slacks of the
/// VMs sum to that of the fleet.
///
/// The bound also holds across restarts, because a restarted process begins without earned
/// credit. A limit based on a log of past repeats would not hold: a killed VM loses its log and
/// would spend the same budget twice.
#[derive(Clone, Debug)]
pub struct Credit {
    available: f64,
    first_sends: WindowCounter,
}

impl Credit {
    /// Creates a credit of `available` repeats.
    #[must_use]
    pub fn new(available: f64) -> Self {
        Self {
            available,
            first_sends: WindowCounter::default(),
        }
    }

    /// Records a first send.
    pub fn record_first_send(&mut self, limits: &Limits, now: time::Moment) {
        self.apply_cap(limits, now);
        self.first_sends.add(limits.window, now);
        self.available += limits.earned_per_send();
    }

    /// Whether at least one repeat is available.
    #[must_use]
    pub fn has_repeat(&mut self, limits: &Limits, now: time::Moment) -> bool {
        self.apply_cap(limits, now);
        self.available >= 1.0
    }

    /// Takes one repeat; returns `false` if none is available.
    #[must_use]
    pub fn try_take_repeat(&mut self, limits: &Limits, now: time::Moment) -> bool {
        let is_available = self.has_repeat(limits, now);
        if is_available {
            self.available -= 1.0;
        }
        is_available
    }

    /// Discards credit above the cap.
    fn apply_cap(&mut self, limits: &Limits, now: time::Moment) {
        let firsts = self.first_sends.count(limits.window, now);
        self.available = self.available.min(limits.max_available(firsts));
    }
}
