//! Request counts of the rollouts in progress.

use std::collections::BTreeMap;

use crate::exposure::Tally;
use crate::exposure::pins::RolloutId;

/// Requests sent by this VM to services being rolled out.
#[derive(Clone, Debug, Default)]
pub struct Tallies {
    rollouts: BTreeMap<RolloutId, Tally>,
}

impl Tallies {
    /// Counts a request sent to either version.
    pub fn count(&mut self, rollout: &RolloutId, is_new: bool) {
        let tally = self.rollouts.entry(rollout.clone()).or_default();
        tally.all += 1;
        tally.new += u32::from(is_new);
    }

    /// Returns the counts, with `open_old` requests in flight on the previous version.
    #[must_use]
    pub fn tally(&self, rollout: &RolloutId, open_old: u32) -> Tally {
        let sent = self.rollouts.get(rollout).copied().unwrap_or_default();
        Tally { open_old, ..sent }
    }

    /// Drops all rollouts except those for which `wanted` returns true.
    pub fn retain(&mut self, wanted: impl Fn(&RolloutId) -> bool) {
        self.rollouts.retain(|rollout, _| wanted(rollout));
    }
}
