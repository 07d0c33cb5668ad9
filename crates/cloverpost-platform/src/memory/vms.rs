//! In-memory list of VMs.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cloverpost_core::id;
use tokio::time;

use crate::fault;
use crate::memory::{Faults, connection, lock};
use crate::vms::{self, State, Vm};

/// An in-memory list of VMs with a configurable lag.
#[derive(Clone, Debug, Default)]
pub struct Vms {
    history: Arc<Mutex<History>>,
    connection: connection::Connection,
}

#[derive(Debug, Default)]
struct History {
    lag: Duration,
    initial: Vec<Vm>,
    changes: Vec<(time::Instant, Vec<Vm>)>,
}

impl Vms {
    /// Creates a list of the VMs `initial`, without lag.
    #[must_use]
    pub fn new(initial: Vec<Vm>) -> Self {
        let history = History {
            initial,
            ..History::default()
        };
        Self {
            history: Arc::new(Mutex::new(history)),
            connection: connection::Connection::default(),
        }
    }

    /// Returns the view of the client `name`.
    #[must_use]
    pub fn client(&self, name: &str) -> Self {
        Self {
            connection: self.connection.client(name),
            ..self.clone()
        }
    }

    /// Returns the faults of this view.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        self.connection.faults()
    }

    /// Sets the delay before changes become visible.
    pub fn set_lag(&self, lag: Duration) {
        lock::lock(&self.history).lag = lag;
    }

    /// Returns the current VMs, ignoring the lag.
    #[must_use]
    pub fn current(&self) -> Vec<Vm> {
        lock::lock(&self.history).current().to_vec()
    }

    /// Replaces the full list.
    pub fn set(&self, list: Vec<Vm>) {
        lock::lock(&self.history).change(|current| *current = list);
    }

    /// Adds a VM, replacing any VM of the same name.
    pub fn add(&self, vm: Vm) {
        lock::lock(&self.history).change(|current| {
            current.retain(|other| other.name != vm.name);
            current.push(vm);
        });
    }

    /// Removes a VM from the list.
    pub fn remove(&self, name: &id::Vm) {
        lock::lock(&self.history).change(|current| current.retain(|vm| vm.name != *name));
    }

    /// Sets the state of a VM to [`State::Leaving`].
    pub fn mark_leaving(&self, name: &id::Vm) {
        lock::lock(&self.history).change(|current| {
            for vm in current.iter_mut().filter(|vm| vm.name == *name) {
                vm.state = State::Leaving;
            }
        });
    }
}

impl vms::Vms for Vms {
    async fn list(&self) -> Result<Vec<Vm>, fault::Fault> {
        self.connection
            .read(|| lock::lock(&self.history).visible().to_vec())
            .await
    }
}

impl History {
    fn current(&self) -> &[Vm] {
        self.changes.last().map_or(&self.initial, |(_, list)| list)
    }

    /// Returns the list as of `lag` ago.
    fn visible(&self) -> &[Vm] {
        let now = time::Instant::now();
        self.changes
            .iter()
            .rfind(|(since, _)| now.duration_since(*since) >= self.lag)
            .map_or(&self.initial, |(_, list)| list)
    }

    fn change(&mut self, change: impl FnOnce(&mut Vec<Vm>)) {
        let mut list = self.current().to_vec();
        change(&mut list);
        self.changes.push((time::Instant::now(), list));
    }
}
