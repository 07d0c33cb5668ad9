//! Part of an encoded configuration.

use bytes::Bytes;

use crate::directory::Version;

/// Part of an encoded configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Piece {
    /// Version of the configuration's row.
    pub version: Version,
    /// Tells encodings of one version apart.
    pub digest: u64,
    /// Bytes of the whole.
    pub len: usize,
    /// Where the piece begins.
    pub offset: usize,
    /// What it holds.
    pub bytes: Bytes,
}
