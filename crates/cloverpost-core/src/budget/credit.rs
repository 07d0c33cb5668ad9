//! Repeats that one VM has earned at one service.

use crate::budget::Terms;
use crate::budget::recent::Recent;
use crate::time;

/// What one VM may send again to one service.
///
/// Each first send earns a part of a repeat, and little is kept. In any window a VM sends at most
/// what it had kept when the window began and what the first sends of the window earn. What is
/// kept is bound by the first sends of the window before, so over all VMs both together stay
/// below the share of the requests, plus the slack, if the slacks of the VMs sum to that of the
/// fleet.
///
/// Nothing of what was spent is remembered, so nothing is lost with a process: one that starts
/// again has earned nothing yet. A record of repeats within the window is forgotten as a VM is
/// killed, and spent anew.
#[derive(Clone, Debug)]
pub struct Credit {
    kept: f64,
    recent: Recent,
}

impl Credit {
    /// Credit that begins with `kept` repeats.
    #[must_use]
    pub fn new(kept: f64) -> Self {
        Self {
            kept,
            recent: Recent::default(),
        }
    }

    /// Notes a first send.
    pub fn first(&mut self, terms: &Terms, now: time::Moment) {
        self.settle(terms, now);
        self.recent.add(terms.window, now);
        self.kept += terms.earned();
    }

    /// Whether a whole repeat is left.
    #[must_use]
    pub fn has_repeat(&mut self, terms: &Terms, now: time::Moment) -> bool {
        self.settle(terms, now);
        self.kept >= 1.0
    }

    /// Takes one repeat; `false` if no whole one is left.
    #[must_use]
    pub fn repeat(&mut self, terms: &Terms, now: time::Moment) -> bool {
        let is_left = self.has_repeat(terms, now);
        if is_left {
            self.kept -= 1.0;
        }
        is_left
    }

    /// Drops what is more than may be kept.
    fn settle(&mut self, terms: &Terms, now: time::Moment) {
        let firsts = self.recent.count(terms.window, now);
        self.kept = self.kept.min(terms.most_kept(firsts));
    }
}
