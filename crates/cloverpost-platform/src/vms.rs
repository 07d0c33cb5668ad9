//! The platform's list of VMs.

mod role;
mod state;
mod vm;

pub use role::Role;
pub use state::State;
pub use vm::Vm;

use std::future::Future;

use crate::fault;

/// The platform's list of VMs, which may be out of date by several seconds.
pub trait Vms: Clone + Send + Sync + 'static {
    /// Reads the full list.
    fn list(&self) -> impl Future<Output = Result<Vec<Vm>, fault::Fault>> + Send;
}
