//! Acquires, renews and releases leases in the table.
//!
//! Each operation reads the row, asks [`cloverpost_core::lease`] for the next step and
//! performs its conditional write. If the response to a write is lost, the row is read back
//! before another write.

pub mod acquire;
mod options;
pub mod order;
pub mod release;
pub mod renew;
pub mod renew_until_lost;
mod store;

pub use options::Options;
pub use store::Error;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cloverpost_core::{id, lease};
use cloverpost_platform::table;

use crate::clock;

/// Partition of all leases.
const PARTITION: &str = "lease";

/// Handle of a process to a lease; clones share their state.
#[derive(Clone, Debug)]
pub struct Lease<T> {
    store: store::Store<T>,
    clock: clock::Clock,
    options: Options,
    state: Arc<Mutex<lease::Lease>>,
}

impl<T: table::Table> Lease<T> {
    /// Creates a handle to the lease `name`, which is not held yet.
    #[must_use]
    pub fn new(
        table: T,
        name: &str,
        vm: id::Vm,
        process: id::Process,
        clock: clock::Clock,
        options: Options,
    ) -> Self {
        let key = table::Key::new(PARTITION, name);
        let holder = lease::Holder::new(vm, process, &mut rand::rng());
        Self {
            store: store::Store::new(table, key, options.call_timeout),
            clock,
            options,
            state: Arc::new(Mutex::new(lease::Lease::new(holder, options.lease))),
        }
    }

    /// Returns the fencing token for an action that takes `action_time`, if the lease
    /// lasts longer than that plus the margin. Call it immediately before the action,
    /// without an `await` in between.
    #[must_use]
    pub fn fence_for(&self, action_time: Duration) -> Option<id::Fence> {
        self.state().fence_for(action_time, self.clock.now())
    }

    /// Time until the lease expires; zero if it is not held.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        self.state().remaining(self.clock.now())
    }

    /// Locks the state. The lock is never held across an `await`. Poisoning is ignored
    /// because every change leaves the state consistent.
    fn state(&self) -> MutexGuard<'_, lease::Lease> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
