//! Outlines of encoded tables.
//!
//! Most changes of a large table leave nearly all of its rows as they were. The outline of an
//! encoded table lists its chunks, so that a VM that has an earlier encoding requests only the
//! chunks that it lacks. The limits of the chunks follow from the content near them; a row that is
//! inserted or removed changes one or two chunks and leaves the others as they were.

use fastcdc::v2020::FastCDC;

use crate::directory::{Chunk, Version, encoded};

/// Minimum size of a chunk, in bytes; the last one may be smaller.
const MIN_CHUNK_BYTES: usize = 256;
/// Size of most chunks, in bytes. The outline takes about a hundredth of the table.
const CHUNK_BYTES: usize = 1024;
/// Maximum size of a chunk, in bytes.
const MAX_CHUNK_BYTES: usize = 4096;

/// The chunks of an encoded table, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Outline {
    /// Version of the table's newest row.
    pub version: Version,
    /// Version at which the sender's table consists of exactly these rows.
    pub snapshot_version: Version,
    /// Digest of the encoded table.
    pub digest: u64,
    /// The chunks.
    pub chunks: Vec<Chunk>,
}

impl Outline {
    /// Size of the encoded table in bytes; `None` if it exceeds the maximum.
    #[must_use]
    pub fn table_len(&self) -> Option<usize> {
        let mut lens = self.chunks.iter().map(|chunk| chunk.len);
        let len = lens.try_fold(0, |sum: usize, len| sum.checked_add(len))?;
        (len <= encoded::MAX_TABLE_BYTES).then_some(len)
    }
}

/// Divides `bytes` into chunks. Equal content far from a difference gives equal chunks.
pub fn chunks(bytes: &[u8]) -> impl Iterator<Item = (Chunk, &[u8])> {
    let limits = FastCDC::new(bytes, MIN_CHUNK_BYTES, CHUNK_BYTES, MAX_CHUNK_BYTES);
    limits.map(|limit| {
        let content = &bytes[limit.offset..limit.offset + limit.length];
        let chunk = Chunk {
            len: content.len(),
            digest: encoded::digest(content),
        };
        (chunk, content)
    })
}
