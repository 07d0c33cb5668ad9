//! What VMs tell each other of the store's tables.

use crate::directory::{Image, Versions};

/// A message between two VMs.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// The sender has tables of these versions.
    Have(Versions),
    /// The sender hears from the store, and its tables last changed in these
    /// versions. Who hears this need not ask the store.
    Fresh(Versions),
    /// Asks for the tables that are newer than these.
    Ask(Versions),
    /// The tables that were asked for; those that are not newer are empty.
    Tell(Box<Image>),
}
