//! The set of in-memory services.

use crate::memory::{Faults, Objects, Rater, Table, Vms, Weights};
use crate::platform;

/// One in-memory instance of each service.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// The table.
    pub table: Table,
    /// The object store.
    pub objects: Objects,
    /// The list of VMs.
    pub vms: Vms,
    /// The weight store.
    pub weights: Weights,
    /// The rating service.
    pub rater: Rater,
}

impl Platform {
    /// Creates empty services without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the view of the client `name` for every service.
    #[must_use]
    pub fn client(&self, name: &str) -> Self {
        Self {
            table: self.table.client(name),
            objects: self.objects.client(name),
            vms: self.vms.client(name),
            weights: self.weights.client(name),
            rater: self.rater.client(name),
        }
    }

    /// Returns the faults of this view for every service.
    #[must_use]
    pub fn faults(&self) -> [&Faults; 5] {
        [
            self.table.faults(),
            self.objects.faults(),
            self.vms.faults(),
            self.weights.faults(),
            self.rater.faults(),
        ]
    }
}

impl platform::Platform for Platform {
    type Table = Table;
    type Objects = Objects;
    type Vms = Vms;
    type Weights = Weights;
    type Rater = Rater;

    fn table(&self) -> &Table {
        &self.table
    }

    fn objects(&self) -> &Objects {
        &self.objects
    }

    fn vms(&self) -> &Vms {
        &self.vms
    }

    fn weights(&self) -> &Weights {
        &self.weights
    }

    fn rater(&self) -> &Rater {
        &self.rater
    }
}
