//! Sessions pinned to the previous version.

use std::collections::{BTreeMap, HashSet};

use crate::directory;
use crate::id;

/// Maximum number of sessions kept per rollout, at 8 bytes each.
const MAX_SESSIONS: usize = 20_000;

/// Identifies a rollout: its service and the version of its order row.
pub type RolloutId = (id::Pool, directory::Version);

/// Sessions that were on the previous version when their rollout began.
///
/// Requests of a session may arrive at any VM, so VMs exchange their pins through the
/// aggregators of the rollout.
#[derive(Clone, Debug, Default)]
pub struct Pins {
    rollouts: BTreeMap<RolloutId, Pinned>,
}

#[derive(Clone, Debug, Default)]
struct Pinned {
    sessions: HashSet<u64>,
    /// Sessions not yet sent to peers.
    unsent: Vec<u64>,
}

impl Pins {
    /// Pins `session` to the previous version.
    pub fn pin(&mut self, rollout: &RolloutId, session: u64) {
        self.merge(rollout, &[session]);
    }

    /// Adds the sessions pinned by a peer.
    pub fn merge(&mut self, rollout: &RolloutId, sessions: &[u64]) {
        let pinned = self.rollouts.entry(rollout.clone()).or_default();
        for session in sessions {
            if pinned.sessions.len() < MAX_SESSIONS && pinned.sessions.insert(*session) {
                pinned.unsent.push(*session);
            }
        }
    }

    /// Returns whether `session` is pinned to the previous version.
    #[must_use]
    pub fn is_pinned(&self, rollout: &RolloutId, session: u64) -> bool {
        let pinned = self.rollouts.get(rollout);
        pinned.is_some_and(|pinned| pinned.sessions.contains(&session))
    }

    /// Returns the sessions not yet sent to peers, and marks them as sent.
    pub fn take_unsent(&mut self, rollout: &RolloutId) -> Vec<u64> {
        let pinned = self.rollouts.get_mut(rollout);
        pinned.map_or_else(Vec::new, |pinned| std::mem::take(&mut pinned.unsent))
    }

    /// Drops all rollouts except those for which `wanted` returns true.
    pub fn retain(&mut self, wanted: impl Fn(&RolloutId) -> bool) {
        self.rollouts.retain(|rollout, _| wanted(rollout));
    }
}
