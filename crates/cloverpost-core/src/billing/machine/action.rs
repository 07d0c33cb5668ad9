//! Effects of the billing machine.

use crate::billing::ledger::Step;
use crate::billing::{Durability, Message, Sequence, Source};
use crate::id;

/// An effect for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// Recipient.
        to: id::Vm,
        /// Message.
        message: Message,
    },
    /// Call the store and pass its answer to [`Machine::answer`].
    ///
    /// [`Machine::answer`]: crate::billing::Machine::answer
    Call {
        /// The source whose copies are billed; `None` for the VM's own records.
        source: Option<Source>,
        /// The call.
        step: Step,
    },
    /// Send the end of an answer to its caller.
    Release {
        /// Sequence number of the record.
        sequence: Sequence,
        /// Durability of the record.
        durability: Durability,
    },
}
