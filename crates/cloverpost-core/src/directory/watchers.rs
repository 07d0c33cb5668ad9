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
        let members = self.rows.values().map(|row| &row.value);
        let of_zone = members.filter(|one| one.zone == *zone);
        let mut ranked: Vec<_> = of_zone.map(|one| (rank(&one.vm), &one.vm)).collect();
        ranked.sort_unstable();
        let own = ranked.iter().position(|(_, one)| *one == vm);
        own.is_none_or(|own| own < WATCHERS)
    }
}

/// Equal on every VM: the default hasher has no random state.
fn rank(vm: &id::Vm) -> u64 {
    let mut hasher = DefaultHasher::new();
    vm.hash(&mut hasher);
    hasher.finish()
}
