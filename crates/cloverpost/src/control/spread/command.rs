//! Commands to the catalogue propagation task.

use cloverpost_core::{id, spread};
use tokio::sync::oneshot;

/// A command sent by a [`Handle`](crate::control::spread::Handle).
#[derive(Debug)]
pub enum Command {
    /// Pass the event to the machine.
    Event(spread::Event),
    /// Remove all runs of a VM that the platform has removed permanently.
    RemoveVm(id::Vm),
    /// Send back the propagation status of a revision.
    Status(id::Revision, oneshot::Sender<spread::Status>),
}
