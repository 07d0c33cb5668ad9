//! Which request is the cause of a crash.
//!
//! A crash ends all requests that are in flight on the upstream, and has one cause among them. A
//! request that meets the crashes of poison requests again and again looks like one, but all its
//! crashes are also evidence against others, which have more.
//!
//! Of two requests that have just reached the threshold, either may be the cause. They excuse each
//! other until one more crash decides between them. Above the threshold only a request that was
//! there at each of the crashes, and at others, is an excuse; otherwise poison requests that come at
//! the same time would never be stopped.

use std::collections::BTreeSet;

use crate::poison::record::Record;
use crate::poison::{Action, Fact, Fingerprint, Register, Status};
use crate::time;

impl Register {
    /// Whether other requests explain the crashes of `record`.
    pub(super) fn is_explained(
        &self,
        fingerprint: &Fingerprint,
        record: &Record,
        now: time::Moment,
    ) -> bool {
        let threshold = self.options.threshold;
        let len = record.live_len(now);
        let others = self.suspects.iter().filter(|other| *other != fingerprint);
        let others = others.filter_map(|other| self.records.get(other));
        if len > threshold {
            let mut stronger = others.filter(|other| other.live_len(now) > len);
            return stronger.any(|other| other.live.is_superset(&record.live));
        }
        let others: Vec<_> = others.filter(|other| other.live_len(now) >= len).collect();
        let is_unexplained = |crash: &&_| !others.iter().any(|other| other.live.contains(*crash));
        record.live.iter().filter(is_unexplained).count() < threshold
    }

    /// The quarantined requests.
    pub(super) fn quarantined(&self, now: time::Moment) -> BTreeSet<Fingerprint> {
        let suspects = self.suspects.iter().copied();
        suspects
            .filter(|fingerprint| self.status(fingerprint, now) == Status::Quarantined)
            .collect()
    }

    /// All facts about quarantined requests that are in effect.
    pub fn quarantined_facts(&self, now: time::Moment) -> impl Iterator<Item = Fact> {
        let quarantined = self.quarantined(now).into_iter();
        quarantined
            .flat_map(move |fingerprint| self.facts_of(&fingerprint, now).collect::<Vec<_>>())
    }

    /// Requests that were quarantined or released by a change to `changed`. Only changes to suspects
    /// matter, so that marks of many other requests cost little.
    pub(super) fn changes_by(&mut self, changed: &Fingerprint, now: time::Moment) -> Vec<Action> {
        let was_quarantined = self.last_quarantined.contains(changed);
        if !was_quarantined && !self.suspects.contains(changed) {
            return Vec::new();
        }
        let after = self.quarantined(now);
        let before = std::mem::replace(&mut self.last_quarantined, after);
        let after = &self.last_quarantined;
        let quarantined = after.difference(&before).copied().map(Action::Quarantined);
        let released = before.difference(after).copied().map(Action::Released);
        quarantined.chain(released).collect()
    }
}
