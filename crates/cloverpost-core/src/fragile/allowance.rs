//! Requests that a VM allows itself on one fragile upstream.

use std::time::Duration;

use crate::count;
use crate::fragile::Share;
use crate::quota::RecentSends;
use crate::time;

/// Time for which a rejected request keeps its place. It is longer than the second in which the
/// upstream counts, since rejections may arrive closer together than they were sent.
const REJECTED_WINDOW: Duration = Duration::from_millis(1200);

/// Requests that a VM allows itself on one fragile upstream.
///
/// An upstream may have less room than its slots, so the places in use shrink with each rejection to
/// the requests that it accepted, and grow by one with as many responses.
#[derive(Clone, Debug, Default)]
pub struct Allowance {
    /// Places in use; `None` for all of the share.
    window: Option<f64>,
    rejected: RecentSends,
    last_sent: time::Moment,
}

impl Allowance {
    /// Whether a request may be sent beside `in_flight` others.
    pub fn admits(&self, share: Share, in_flight: usize, now: time::Moment) -> bool {
        let rejected = self.rejected.count(REJECTED_WINDOW, now);
        if share.places == 0 {
            let is_due = now.since(self.last_sent) >= share.unplaced_interval;
            return in_flight == 0 && rejected == 0 && is_due;
        }
        in_flight + rejected < self.places(share)
    }

    /// Whether a request may be sent beyond the share, while the upstream has room.
    pub fn admits_excess(&self, share: Share, in_flight: usize, now: time::Moment) -> bool {
        self.rejected.count(REJECTED_WINDOW, now) == 0 && in_flight <= share.places
    }

    /// Records a request.
    pub fn record_send(&mut self, now: time::Moment) {
        self.last_sent = now;
    }

    /// Records that the upstream rejected a request while it had `accepted` others of this VM.
    pub fn record_rejection(&mut self, accepted: usize, now: time::Moment) {
        self.rejected.record(REJECTED_WINDOW, now);
        self.window = Some(count::to_f64(accepted.max(1)));
    }

    /// Records that the upstream accepted a request.
    pub fn record_response(&mut self, share: Share) {
        let grown = self.window.map(|window| window + 1.0 / window);
        self.window = grown.filter(|window| *window < count::to_f64(share.places));
    }

    /// Places in use.
    fn places(&self, share: Share) -> usize {
        self.window.map_or(share.places, |window| {
            count::floor(window).min(share.places)
        })
    }
}
