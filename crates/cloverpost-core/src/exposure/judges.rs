//! Which VMs pool the evidence of a roll-out.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::id;

/// VMs that pool the evidence. One may be dead, another frozen or cut off, and the
/// third still judges on all that was seen.
pub const JUDGES: usize = 3;

/// The VMs among `members` that pool the evidence on `service`, in order; every VM
/// with the same list finds the same ones.
///
/// Evidence goes to them alone: told to all, the messages would grow with the
/// square of the VMs.
pub fn judges<'a>(
    service: &id::Pool,
    members: impl Iterator<Item = &'a id::Vm>,
) -> Vec<&'a id::Vm> {
    let rank = |vm: &id::Vm| {
        // The default hasher has no random state.
        let mut hasher = DefaultHasher::new();
        service.hash(&mut hasher);
        vm.hash(&mut hasher);
        hasher.finish()
    };
    let mut ranked: Vec<_> = members.collect();
    ranked.sort_by_key(|vm| rank(vm));
    ranked.truncate(JUDGES);
    ranked
}
