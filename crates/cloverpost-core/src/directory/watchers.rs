//! Which VMs follow the store.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::directory::{Member, Table};
use crate::id;

/// VMs of an availability zone that follow the store. If both are gone, the others
/// notice within a second and follow it themselves.
const WATCHERS: usize = 2;

impl Table<Member> {
    /// Whether `vm` follows the store for its availability zone.
    ///
    /// Calls to the store are paid for, and a table that changes all the time
    /// answers every follower of it: with all VMs following, the calls grow with VMs
    /// times changes. A VM that is not listed yet follows for itself.
    #[must_use]
    pub fn is_watcher(&self, vm: &id::Vm, zone: &id::AvailabilityZone) -> bool {
        let ranked = self.ranked(zone);
        let own = ranked.iter().position(|one| one.vm == *vm);
        own.is_none_or(|own| own < WATCHERS)
    }

    /// The VMs of `zone`, in an order that is the same on all of them.
    #[must_use]
    pub fn ranked(&self, zone: &id::AvailabilityZone) -> Vec<&Member> {
        let members = self.rows.values().map(|row| &row.value);
        let mut ranked: Vec<_> = members.filter(|one| one.zone == *zone).collect();
        ranked.sort_by_cached_key(|one| (rank(&one.vm), one.vm.clone()));
        ranked
    }
}

/// Equal on every VM: the default hasher has no random state.
fn rank(vm: &id::Vm) -> u64 {
    let mut hasher = DefaultHasher::new();
    vm.hash(&mut hasher);
    hasher.finish()
}
