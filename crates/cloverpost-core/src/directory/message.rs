//! Messages between VMs about the store's tables.

use crate::directory::{Outline, Piece, Update, Version, Versions};

/// A message between two VMs.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Versions of the newest changes in the sender's tables.
    Have(Versions),
    /// Like [`Message::Have`], from a sender that is connected to the store. The receiver need not
    /// query the store.
    Fresh(Versions),
    /// Requests the changes after these versions.
    Ask(Versions),
    /// Response to [`Message::Ask`].
    Tell(Box<Update>),
    /// The sender holds a complete table of this version, which peers may fetch from it.
    Holds(TableKind, Version),
    /// Requests a piece of an encoded table.
    Fetch {
        /// The table.
        table: TableKind,
        /// Version of the table's newest row.
        version: Version,
        /// Offset of the piece in the encoded table, in bytes.
        offset: usize,
    },
    /// Response to [`Message::Fetch`]: the requested piece, or the first piece of a newer version.
    Piece(Piece),
    /// Requests the outline of an encoded table.
    FetchOutline {
        /// The table.
        table: TableKind,
        /// Version of the table's newest row.
        version: Version,
    },
    /// Response to [`Message::FetchOutline`]: the requested outline, or that of a newer version.
    Outline(Outline),
}

/// A kind of table that is transferred completely, in pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum TableKind {
    /// The configuration.
    Configuration,
    /// The upstreams.
    Upstreams,
}
