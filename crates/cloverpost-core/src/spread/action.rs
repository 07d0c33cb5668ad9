//! Actions requested by a machine.

use std::sync::Arc;

use crate::catalogue;
use crate::id;
use crate::spread::{Message, Roster};

/// An effect that the caller of [`crate::spread::Machine::step`] carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message.
    Send {
        /// Recipient.
        to: id::Vm,
        /// Content.
        message: Message,
    },
    /// Read any newer revision and roster from the store and report the result as
    /// [`crate::spread::Event::Polled`].
    Poll {
        /// Current revision.
        revision: id::Revision,
        /// Epoch of the current roster.
        epoch: id::Epoch,
    },
    /// Write the roster to the store unless one with the same epoch exists. The next
    /// poll returns the outcome.
    WriteRoster(Roster),
    /// Replace the catalogue that requests are served from.
    Publish(Arc<catalogue::Catalogue>),
}
