//! The set of platform services.

use crate::{objects, rating, table, vms, weights};

/// Groups the platform's services, so that callers need only one type parameter.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Type of the transactional table.
    type Table: table::Table;
    /// Type of the object store.
    type Objects: objects::Objects;
    /// Type of the VM list.
    type Vms: vms::Vms;
    /// Type of the weight store.
    type Weights: weights::Weights;
    /// Type of the rating service.
    type Rater: rating::Rater;

    /// Returns the transactional table.
    fn table(&self) -> &Self::Table;

    /// Returns the object store.
    fn objects(&self) -> &Self::Objects;

    /// Returns the eventually consistent list of VMs.
    fn vms(&self) -> &Self::Vms;

    /// Returns the rate-limited weight store.
    fn weights(&self) -> &Self::Weights;

    /// Returns the rating service.
    fn rater(&self) -> &Self::Rater;
}
