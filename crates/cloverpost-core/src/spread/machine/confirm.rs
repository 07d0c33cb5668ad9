//! Determines until when the catalogue is confirmed.
//!
//! A confirmation states that no later revision was accepted, or held by a majority,
//! at some moment. It remains true for later revisions and other rosters, so the end
//! of validity never moves backwards.

use crate::spread::Machine;
use crate::time;

impl Machine {
    /// Whether the catalogue is confirmed by the store rather than by a majority alone.
    #[must_use]
    pub fn is_confirmed_by_store(&self, now: time::Moment) -> bool {
        let recent = |since| now.since(since) < self.options.window;
        self.store_confirmed_at.is_some_and(recent)
    }

    /// Records this VM's own confirmation, unless it knows of a later revision.
    pub(super) fn confirm_own_revision(&mut self, now: time::Moment) {
        if self.is_behind() {
            return;
        }
        if let Some(index) = self.roster.index_of(&self.me) {
            self.confirmed_at[index] = Some(now);
        }
    }

    /// Records that the store held no later revision at a poll or write sent at `started`.
    pub(super) fn confirm_by_store(&mut self, started: time::Moment) {
        if !self.is_behind() {
            self.store_confirmed_at = self.store_confirmed_at.max(Some(started));
        }
    }

    /// Extends the validity by the most recent confirmation.
    pub(super) fn extend_validity(&mut self) {
        let by_majority = self.majority_confirmed_at();
        let newest = self.store_confirmed_at.max(by_majority);
        if let Some(confirmed_at) = newest {
            self.valid_until = self.valid_until.max(confirmed_at + self.options.window);
        }
    }

    /// The latest moment since which a majority of members has confirmed the revision.
    fn majority_confirmed_at(&self) -> Option<time::Moment> {
        let mut confirmed_at = self.confirmed_at.clone();
        confirmed_at.sort_unstable_by(|a, b| b.cmp(a));
        confirmed_at
            .get(self.roster.majority() - 1)
            .copied()
            .flatten()
    }
}
