//! Queue of changes to broadcast.

use crate::id;

/// A changed VM and the number of its transmissions.
#[derive(Clone, Debug)]
struct Broadcast {
    vm: id::Vm,
    transmissions: u32,
}

/// Changes to broadcast, the least transmitted first.
#[derive(Clone, Debug, Default)]
pub struct BroadcastQueue(Vec<Broadcast>);

impl BroadcastQueue {
    /// Queues the record of `vm`, and resets its number of transmissions.
    pub fn push(&mut self, vm: &id::Vm) {
        self.0.retain(|broadcast| broadcast.vm != *vm);
        let broadcast = Broadcast {
            vm: vm.clone(),
            transmissions: 0,
        };
        self.0.insert(0, broadcast);
    }

    /// Takes the `count` least transmitted changes, and drops those transmitted `limit` times.
    pub fn take(&mut self, count: usize, limit: u32) -> Vec<id::Vm> {
        let mut taken = Vec::with_capacity(count.min(self.0.len()));
        for broadcast in self.0.iter_mut().take(count) {
            broadcast.transmissions += 1;
            taken.push(broadcast.vm.clone());
        }
        self.0.retain(|broadcast| broadcast.transmissions < limit);
        self.0.sort_by_key(|broadcast| broadcast.transmissions);
        taken
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
