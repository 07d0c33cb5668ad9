//! Usual durations of requests.

use std::collections::HashMap;
use std::time::Duration;

use crate::id;
use crate::shutdown::recent::Recent;

/// How long the latest requests of each route took.
#[derive(Clone, Debug, Default)]
pub struct Durations(HashMap<id::Entry, Recent>);

impl Durations {
    /// Records that a request of `route` took `duration`.
    pub fn record(&mut self, route: &id::Entry, duration: Duration) {
        if let Some(recent) = self.0.get_mut(route) {
            recent.record(duration);
            return;
        }
        let mut recent = Recent::default();
        recent.record(duration);
        self.0.insert(route.clone(), recent);
    }

    /// Time that a share of `exceeded` requests of `route` exceeds; `None` if none has been recorded.
    #[must_use]
    pub fn upper_estimate(&self, route: &id::Entry, exceeded: f64) -> Option<Duration> {
        self.0.get(route)?.upper_estimate(exceeded)
    }
}
