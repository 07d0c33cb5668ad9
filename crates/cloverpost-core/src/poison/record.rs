//! The evidence against one feature.

use std::collections::BTreeSet;

use crate::poison::Evidence;
use crate::time;

/// The evidence against one feature, by state.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// Evidence that counts until `expires_at`.
    pub(super) live: BTreeSet<Evidence>,
    /// Expired evidence, kept so that a peer whose copy expires a little later
    /// cannot revive it.
    pub(super) expired: BTreeSet<Evidence>,
    /// Evidence dismissed by an operator, whether it was known here before or not.
    pub(super) lifted: BTreeSet<Evidence>,
    /// Whether a VM has confirmed the quarantine.
    pub(super) is_confirmed: bool,
    /// When the live evidence expires.
    pub(super) expires_at: time::Moment,
    /// Last change, for eviction.
    pub(super) changed_at: time::Moment,
}

impl Record {
    /// Number of pieces of evidence, in any state.
    pub(super) fn len(&self) -> usize {
        self.live.len() + self.expired.len() + self.lifted.len()
    }

    /// Number of pieces of evidence that count at `now`.
    pub(super) fn live_len(&self, now: time::Moment) -> usize {
        if now < self.expires_at {
            self.live.len()
        } else {
            0
        }
    }

    /// Moves the live evidence to the expired once `expires_at` has passed.
    pub(super) fn expire(&mut self, now: time::Moment) {
        if now >= self.expires_at {
            self.is_confirmed = false;
            self.expired.append(&mut self.live);
        }
    }

    /// Adds live evidence. Returns `false` if it is already live, expired or
    /// lifted.
    pub(super) fn add(&mut self, evidence: Evidence, expires_at: time::Moment) -> bool {
        let ended = self.expired.contains(&evidence) || self.lifted.contains(&evidence);
        if ended || !self.live.insert(evidence) {
            return false;
        }
        self.expires_at = self.expires_at.max(expires_at);
        true
    }

    /// Dismisses `evidence`, whether or not it is known yet.
    pub(super) fn lift(&mut self, evidence: Evidence) {
        self.is_confirmed = false;
        self.live.remove(&evidence);
        self.expired.remove(&evidence);
        self.lifted.insert(evidence);
    }
}
