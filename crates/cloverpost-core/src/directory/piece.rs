//! Part of an encoded table.

use bytes::Bytes;

use crate::directory::Version;

/// Part of an encoded table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Piece {
    /// Version of the table's newest row.
    pub version: Version,
    /// Version as of which the sender's table holds these rows and no others.
    pub whole_as_of: Version,
    /// Tells encodings of one version apart.
    pub digest: u64,
    /// Bytes of the whole.
    pub len: usize,
    /// Where the piece begins.
    pub offset: usize,
    /// What it holds.
    pub bytes: Bytes,
}
