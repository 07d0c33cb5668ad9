//! The set of service clients.

use hyper::Uri;

use crate::http::{Objects, Options, Rater, Table, Vms, Weights};
use crate::platform;

/// One client for each service.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Client of the table.
    pub table: Table,
    /// Client of the object store.
    pub objects: Objects,
    /// Client of the VM list.
    pub vms: Vms,
    /// Client of the weight store.
    pub weights: Weights,
    /// Client of the rating service.
    pub rater: Rater,
}

impl Platform {
    /// Creates clients of the services under `base`.
    #[must_use]
    pub fn new(base: &Uri, options: &Options) -> Self {
        Self {
            table: Table::new(base.clone(), options.clone()),
            objects: Objects::new(base.clone(), options.clone()),
            vms: Vms::new(base.clone(), options.clone()),
            weights: Weights::new(base.clone(), options.clone()),
            rater: Rater::new(base.clone(), options.clone()),
        }
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
