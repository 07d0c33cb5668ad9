//! Part of an encoded table.

use bytes::Bytes;

use crate::directory::Version;

/// Part of an encoded table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Piece {
    /// Version of the table's newest row.
    pub version: Version,
    /// Version at which the sender's table consists of exactly these rows.
    #[serde(rename = "whole_as_of")]
    pub snapshot_version: Version,
    /// Digest of the encoded table; distinguishes encodings of one version.
    pub digest: u64,
    /// Size of the encoded table, in bytes.
    pub len: usize,
    /// Offset of the piece, in bytes.
    pub offset: usize,
    /// Content of the piece.
    pub bytes: Bytes,
}
