//! Version affinity of sessions.

use std::collections::HashMap;
use std::time::Duration;

use crate::id;
use crate::time;

/// Maximum number of sessions kept, at about 60 bytes each; the oldest half is evicted at
/// the limit.
const MAX_SESSIONS: usize = 4096;

/// Versions of the sessions recently served by this VM.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    versions: HashMap<u64, (id::Version, time::Moment)>,
}

impl Sessions {
    /// Returns the version that served `session` within the last `max_age`.
    #[must_use]
    pub fn version(
        &self,
        session: u64,
        now: time::Moment,
        max_age: Duration,
    ) -> Option<&id::Version> {
        let (version, last_served) = self.versions.get(&session)?;
        (now.since(*last_served) < max_age).then_some(version)
    }

    /// Records that `session` was served by `version`.
    pub fn record(&mut self, session: u64, version: &id::Version, now: time::Moment) {
        if self.versions.len() >= MAX_SESSIONS {
            self.evict_older_half();
        }
        self.versions.insert(session, (version.clone(), now));
    }

    fn evict_older_half(&mut self) {
        let mut last_served: Vec<_> = self
            .versions
            .values()
            .map(|(_, last_served)| *last_served)
            .collect();
        last_served.sort_unstable();
        let middle = last_served[last_served.len() / 2];
        self.versions
            .retain(|_, (_, last_served)| *last_served > middle);
    }
}
