//! Reports the propagation status of revisions.

use crate::id;
use crate::spread::machine::PendingRevision;
use crate::spread::{Machine, Member, Status};
use crate::time;

impl Machine {
    /// Propagation status of `revision`.
    #[must_use]
    pub fn status(&self, revision: id::Revision) -> Status {
        let members = self.roster.members().iter().zip(&self.member_revisions);
        let (holding, lacking): (Vec<_>, Vec<_>) =
            members.partition(|(_, held)| **held >= revision);
        let vms = |members: Vec<(&Member, _)>| {
            members
                .into_iter()
                .map(|(member, _)| member.vm.clone())
                .collect()
        };
        Status {
            revision,
            held: revision <= self.majority_revision,
            in_force: revision <= self.in_force,
            in_force_on: vms(holding),
            not_yet: vms(lacking),
        }
    }

    /// Updates the revisions held by a majority and in force.
    pub(super) fn update_in_force(&mut self, now: time::Moment) {
        let majority_revision = self.held_by_majority();
        if majority_revision > self.majority_revision {
            self.majority_revision = majority_revision;
            self.pending_revisions.push_back(PendingRevision {
                revision: majority_revision,
                since: now,
            });
        }
        let expiry = self.options.confirmation_expiry();
        while let Some(first) = self.pending_revisions.front() {
            if now.since(first.since) < expiry {
                break;
            }
            self.in_force = self.in_force.max(first.revision);
            self.pending_revisions.pop_front();
        }
        if !self.has_non_members(now) {
            self.in_force = self.in_force.max(self.held_by_all());
        }
    }

    /// The latest revision that a majority holds.
    fn held_by_majority(&self) -> id::Revision {
        let mut held = self.member_revisions.clone();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let lowest = held.get(self.roster.majority() - 1);
        lowest.copied().unwrap_or_default()
    }

    fn held_by_all(&self) -> id::Revision {
        self.member_revisions
            .iter()
            .min()
            .copied()
            .unwrap_or_default()
    }

    /// Whether a VM outside the roster may be serving. What the members hold does not
    /// cover it; only the expiry of its confirmation does.
    fn has_non_members(&self, now: time::Moment) -> bool {
        let recent = |since| now.since(since) < self.options.confirmation_expiry();
        let is_outside = |vm| !self.roster.contains_vm(vm);
        self.non_member_seen_at.is_some_and(recent) || self.peers.iter().any(is_outside)
    }
}
