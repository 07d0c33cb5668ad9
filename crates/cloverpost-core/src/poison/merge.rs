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
        let before = self.quarantined(now);
        let is_added = self.change(mark.fingerprint, now, |record| {
            record.len() < capacity && record.add(mark.evidence, expires_at)
        });
        let is_confirmed = is_added && before.contains(&mark.fingerprint);
        let confirmed = is_confirmed.then_some(Action::Confirmed(mark.fingerprint));
        let changes = self.changes_since(&before, now);
        confirmed.into_iter().chain(changes).collect()
    }

    pub(super) fn merge_lift(&mut self, lift: Lift, now: time::Moment) -> Vec<Action> {
        let before = self.quarantined(now);
        self.change(lift.fingerprint, now, |record| {
            for evidence in lift.evidence {
                record.lift(evidence);
            }
            record.expires_at = record.expires_at.max(now);
        });
        self.changes_since(&before, now)
    }
}
