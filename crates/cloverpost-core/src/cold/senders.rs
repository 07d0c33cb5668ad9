//! Which VMs send to a cold upstream.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::directory::{Member, Upstream};
use crate::id;

/// The VMs that may be drawn, and which of them this one is.
#[derive(Clone, Debug)]
pub struct Senders {
    own: id::Vm,
    vms: Vec<(id::Vm, id::AvailabilityZone)>,
}

impl Senders {
    /// This VM, `own`, among `members`.
    pub fn new<'a>(own: id::Vm, members: impl Iterator<Item = &'a Member>) -> Self {
        let vms = members.map(|one| (one.vm.clone(), one.zone.clone()));
        Self {
            own,
            vms: vms.collect(),
        }
    }

    /// Whether this VM is one of the `count` that send to `upstream`. Those of its availability
    /// zone come first; a VM that the list lacks is none of them.
    #[must_use]
    pub fn has_own(&self, upstream: &Upstream, count: usize) -> bool {
        let key = |(vm, zone): &(id::Vm, id::AvailabilityZone)| {
            (*zone != upstream.zone, digest(&upstream.id, vm))
        };
        let Some(own) = self.vms.iter().find(|(vm, _)| *vm == self.own) else {
            return false;
        };
        let own = key(own);
        self.vms.iter().filter(|one| key(one) < own).count() < count
    }
}

/// Equal on every VM: the default hasher has no random state.
fn digest(upstream: &id::Upstream, vm: &id::Vm) -> u64 {
    let mut hasher = DefaultHasher::new();
    upstream.hash(&mut hasher);
    vm.hash(&mut hasher);
    hasher.finish()
}
