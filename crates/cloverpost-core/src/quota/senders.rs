//! Selection of the VMs that may send to an upstream.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::directory::{Member, Upstream};
use crate::id;

/// Candidate senders, including this VM.
#[derive(Clone, Debug)]
pub struct Senders {
    own: id::Vm,
    vms: Vec<(id::Vm, id::AvailabilityZone)>,
    count_in_zone: usize,
}

impl Senders {
    /// Creates the candidates from `members`, where `own` is this VM.
    pub fn new<'a>(own: id::Vm, members: impl Iterator<Item = &'a Member>) -> Self {
        let vms = members.map(|one| (one.vm.clone(), one.zone.clone()));
        let vms: Vec<_> = vms.collect();
        let zone = vms.iter().find(|(vm, _)| *vm == own).map(|(_, zone)| zone);
        let in_zone = vms.iter().filter(|(_, other)| zone == Some(other));
        Self {
            count_in_zone: in_zone.count(),
            own,
            vms,
        }
    }

    /// Whether this VM is one of the `count` senders to `upstream`. VMs in its availability zone
    /// rank first. A VM that is not in the member list is never a sender.
    #[must_use]
    pub fn includes_self(&self, upstream: &Upstream, count: usize) -> bool {
        let rank = self.rank_by(|vm, zone| (*zone != upstream.zone, rank_hash(&upstream.id, vm)));
        rank.is_some_and(|rank| rank < count)
    }

    /// Rank of this VM among all senders to `upstream`, whatever their availability zones, so that
    /// callers of every zone reach a sender. `None` if this VM is not in the member list.
    #[must_use]
    pub fn rank(&self, upstream: &id::Upstream) -> Option<usize> {
        self.rank_by(|vm, _| rank_hash(upstream, vm))
    }

    /// Number of candidates.
    #[must_use]
    pub fn count(&self) -> usize {
        self.vms.len()
    }

    /// Number of candidates in this VM's availability zone.
    #[must_use]
    pub fn count_in_zone(&self) -> usize {
        self.count_in_zone
    }

    fn rank_by<K: Ord>(&self, key: impl Fn(&id::Vm, &id::AvailabilityZone) -> K) -> Option<usize> {
        let (own, zone) = self.vms.iter().find(|(vm, _)| *vm == self.own)?;
        let own = key(own, zone);
        let before = self.vms.iter().filter(|(vm, zone)| key(vm, zone) < own);
        Some(before.count())
    }
}

/// Hash that is equal on every VM, since `DefaultHasher::new` is not randomly seeded.
fn rank_hash(upstream: &id::Upstream, vm: &id::Vm) -> u64 {
    let mut hasher = DefaultHasher::new();
    upstream.hash(&mut hasher);
    vm.hash(&mut hasher);
    hasher.finish()
}
