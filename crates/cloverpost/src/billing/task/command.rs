//! Commands of the billing task.

use cloverpost_core::{billing, id};
use tokio::sync::oneshot;

/// A command that a [`Billing`] handle sends to the task.
///
/// [`Billing`]: crate::billing::Billing
#[derive(Debug)]
pub enum Command {
    /// Bill a request. The reply is sent once its response may be completed.
    Record(billing::Record, oneshot::Sender<billing::Durability>),
    /// A VM has joined.
    Joined(id::Vm, id::AvailabilityZone),
    /// A VM is about to leave.
    Leaving(id::Vm),
    /// A VM has died or left.
    Died(id::Vm),
    /// A VM sent a message.
    Message(id::Vm, billing::Message),
    /// Write all pending records. The reply is sent once none is left.
    Flush(oneshot::Sender<()>),
}
