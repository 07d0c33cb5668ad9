//! Upstreams that this VM reaches through other VMs only.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::directory;
use crate::id;
use crate::time;

/// Interval between tries of a direct path that is broken.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Direct paths that are broken.
#[derive(Clone, Debug, Default)]
pub struct Register {
    broken: HashMap<id::Upstream, Broken>,
    /// When paths that were broken worked again.
    recovered: HashMap<id::Upstream, time::Moment>,
    /// When the next direct path may be tried.
    next_probe: time::Moment,
}

#[derive(Clone, Copy, Debug)]
struct Broken {
    since: time::Moment,
    next_probe: time::Moment,
}

impl Register {
    /// Records that the direct path to `upstream` failed while another VM reached it. Returns
    /// whether it was not known to be broken.
    pub fn record_broken(&mut self, upstream: &id::Upstream, now: time::Moment) -> bool {
        let is_new = !self.broken.contains_key(upstream);
        let next_probe = now + PROBE_INTERVAL;
        let broken = self.broken.entry(upstream.clone());
        broken
            .and_modify(|broken| broken.next_probe = next_probe)
            .or_insert(Broken {
                since: now,
                next_probe,
            });
        is_new
    }

    /// Records that a direct connection to `upstream` was opened. Returns how long its path was
    /// broken, if it was.
    ///
    /// The others are due at once then: what cut them off may be over as well.
    pub fn record_direct(
        &mut self,
        upstream: &id::Upstream,
        now: time::Moment,
    ) -> Option<Duration> {
        let broken = self.broken.remove(upstream)?;
        self.recovered.insert(upstream.clone(), now);
        for other in self.broken.values_mut() {
            other.next_probe = now;
        }
        self.next_probe = now;
        Some(now.since(broken.since))
    }

    /// Whether the direct path to `upstream` is known to be broken.
    #[must_use]
    pub fn is_broken(&self, upstream: &id::Upstream) -> bool {
        self.broken.contains_key(upstream)
    }

    /// Whether the direct path to `upstream` was known to be broken at any time since `since`.
    #[must_use]
    pub fn was_broken(&self, upstream: &id::Upstream, since: time::Moment) -> bool {
        let recovered = self.recovered.get(upstream);
        self.is_broken(upstream) || recovered.is_some_and(|recovered| *recovered >= since)
    }

    /// Number of direct paths that are broken.
    #[must_use]
    pub fn count(&self) -> usize {
        self.broken.len()
    }

    /// The upstream whose direct path is to be tried now, if any. One path is tried at a time, so
    /// that the cost does not grow with the number of upstreams.
    pub fn due_probe(&mut self, now: time::Moment) -> Option<id::Upstream> {
        if now < self.next_probe {
            return None;
        }
        let due = self.broken.iter_mut();
        let due = due.filter(|(_, broken)| broken.next_probe <= now);
        let (upstream, broken) = due.min_by_key(|(_, broken)| broken.next_probe)?;
        broken.next_probe = now + PROBE_INTERVAL;
        self.next_probe = now + PROBE_INTERVAL;
        Some(upstream.clone())
    }

    /// Forgets upstreams that are not in `view`.
    pub fn retain(&mut self, view: &directory::View) {
        if self.broken.is_empty() && self.recovered.is_empty() {
            return;
        }
        let known: HashSet<_> = view.upstreams().map(|one| &one.id).collect();
        self.broken.retain(|id, _| known.contains(id));
        self.recovered.retain(|id, _| known.contains(id));
    }
}
