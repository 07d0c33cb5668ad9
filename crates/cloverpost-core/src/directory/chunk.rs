//! Parts of an encoded table that are compared by their content.

/// A part of an encoded table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Chunk {
    /// Size in bytes.
    pub len: usize,
    /// Digest of the bytes.
    pub digest: u64,
}
