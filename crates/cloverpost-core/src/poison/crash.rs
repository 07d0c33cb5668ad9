//! Evidence that this VM observed itself.

use crate::poison::register::marks;
use crate::poison::{Action, Evidence, Fact, Feature, Mark, Register};
use crate::time;

impl Register {
    /// Records that the upstream of a request crashed, or closed the connection
    /// before the end of the response.
    ///
    /// All evidence against a request is broadcast again, so that a peer that
    /// missed the first crash still quarantines the request at the second. Evidence against a part
    /// comes from many requests, and is broadcast once.
    pub fn record_crash(
        &mut self,
        feature: impl Into<Feature>,
        evidence: Evidence,
        now: time::Moment,
    ) -> Vec<Action> {
        let feature = feature.into();
        let capacity = self.options.capacity;
        let expires_at = now + self.options.expiry;
        let was_quarantined = self.last_quarantined.contains(&feature);
        let marks_to_send: Vec<_> = self.change(feature, now, |record| {
            if record.len() >= capacity || !record.add(evidence.clone(), expires_at) {
                return Vec::new();
            }
            match feature {
                Feature::Request(_) => marks(feature, record, now).collect(),
                Feature::Part(_) => vec![Mark {
                    feature,
                    evidence,
                    is_confirmed: false,
                    remaining: record.expires_at.since(now),
                }],
            }
        });
        let is_confirmed = was_quarantined && !marks_to_send.is_empty();
        let confirmed = is_confirmed.then_some(Action::Confirmed(feature));
        let broadcasts = marks_to_send
            .into_iter()
            .map(|mark| Action::Broadcast(Fact::Mark(mark)));
        broadcasts
            .chain(confirmed)
            .chain(self.changes_by(&feature, now))
            .collect()
    }
}
