//! Merging facts from peers.

use crate::poison::{Action, Fact, Lift, Mark, Register};
use crate::time;

impl Register {
    /// Merges a fact from a peer. Merging a known fact has no effect.
    pub fn merge(&mut self, fact: Fact, now: time::Moment) -> Vec<Action> {
        match fact {
            Fact::Mark(mark) => self.merge_mark(mark, now),
            Fact::Lift(lift) => self.merge_lift(lift, now),
        }
    }

    /// The expiry is that of the fact and is not restarted on receipt: otherwise
    /// each replaced VM would extend a quarantine and it would never expire.
    fn merge_mark(&mut self, mark: Mark, now: time::Moment) -> Vec<Action> {
        let capacity = self.options.capacity;
        let expires_at = now + mark.remaining.min(self.options.expiry);
        let was_quarantined = self.last_quarantined.contains(&mark.feature);
        let is_changed = self.change(mark.feature, now, |record| {
            let is_added = record.len() < capacity && record.add(mark.evidence, expires_at);
            let is_newly_confirmed =
                mark.is_confirmed && !record.live.is_empty() && !record.is_confirmed;
            record.is_confirmed |= is_newly_confirmed;
            is_added || is_newly_confirmed
        });
        if !is_changed {
            return Vec::new();
        }
        let confirmed = was_quarantined.then_some(Action::Confirmed(mark.feature));
        let changes = self.changes_by(&mark.feature, now);
        confirmed.into_iter().chain(changes).collect()
    }

    pub(super) fn merge_lift(&mut self, lift: Lift, now: time::Moment) -> Vec<Action> {
        self.change(lift.feature, now, |record| {
            for evidence in lift.evidence {
                record.lift(evidence);
            }
            record.expires_at = record.expires_at.max(now);
        });
        self.changes_by(&lift.feature, now)
    }
}
