//! Evidence that this VM observed itself.

use crate::poison::register::marks;
use crate::poison::{Action, Evidence, Fact, Fingerprint, Register};
use crate::time;

impl Register {
    /// Records that the upstream of a request crashed, or closed the connection
    /// before the end of the response.
    ///
    /// All evidence of the fingerprint is broadcast again, so that a peer that
    /// missed the first crash still quarantines the request at the second.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        evidence: Evidence,
        now: time::Moment,
    ) -> Vec<Action> {
        let capacity = self.options.capacity;
        let expires_at = now + self.options.expiry;
        let was_quarantined = self.last_quarantined.contains(&fingerprint);
        let marks_to_send: Vec<_> = self.change(fingerprint, now, |record| {
            let added = record.len() < capacity && record.add(evidence, expires_at);
            let added_marks = added.then(|| marks(fingerprint, record, now).collect());
            added_marks.unwrap_or_else(Vec::new)
        });
        let is_confirmed = was_quarantined && !marks_to_send.is_empty();
        let confirmed = is_confirmed.then_some(Action::Confirmed(fingerprint));
        let broadcasts = marks_to_send
            .into_iter()
            .map(|mark| Action::Broadcast(Fact::Mark(mark)));
        broadcasts
            .chain(confirmed)
            .chain(self.changes_by(&fingerprint, now))
            .collect()
    }
}
