//! Release from quarantine by an operator.

use crate::poison::{Action, Fact, Feature, Lift, Register};
use crate::time;

impl Register {
    /// Dismisses all evidence against `feature` that this VM knows of.
    ///
    /// Later crashes still count, so a request released in error is quarantined
    /// again after two more.
    pub fn lift(&mut self, feature: impl Into<Feature>, now: time::Moment) -> Vec<Action> {
        let feature = feature.into();
        let Some(record) = self.records.get(&feature) else {
            return Vec::new();
        };
        let lift = Lift {
            feature,
            evidence: record.live.iter().cloned().collect(),
        };
        let broadcast = Action::Broadcast(Fact::Lift(lift.clone()));
        let released = self.merge_lift(lift, now);
        std::iter::once(broadcast).chain(released).collect()
    }
}
