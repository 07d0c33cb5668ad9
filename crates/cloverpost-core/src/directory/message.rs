//! What VMs tell each other of the store's tables.

use crate::directory::{Piece, Update, Version, Versions};

/// A message between two VMs.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// The newest changes that the sender's tables hold are of these versions.
    Have(Versions),
    /// The same, and the sender hears from the store. Who hears this need not ask the store.
    Fresh(Versions),
    /// Asks for what changed in the tables after these versions.
    Ask(Versions),
    /// The changes that were asked for.
    Tell(Box<Update>),
    /// The sender has taken over the whole table; others may fetch it there.
    Holds(Whole, Version),
    /// Asks for part of a table.
    Fetch {
        /// Which one.
        table: Whole,
        /// Version of its newest row.
        version: Version,
        /// Where the part begins, in bytes of its encoding.
        offset: usize,
    },
    /// The part that was asked for, or the start of a newer version.
    Piece(Piece),
}

/// A table that is fetched whole, in pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Whole {
    /// The configuration.
    Configuration,
    /// The upstreams.
    Upstreams,
}
