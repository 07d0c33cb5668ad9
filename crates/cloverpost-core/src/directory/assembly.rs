//! Assembles an encoded table from pieces.

use std::collections::HashMap;
use std::ops::Range;

use crate::directory::{Outline, outline};

/// An encoded table of which some bytes may be missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assembly {
    bytes: Vec<u8>,
    /// Missing ranges, in ascending order, neither empty nor adjacent.
    missing: Vec<Range<usize>>,
}

impl Assembly {
    /// A table of `len` bytes, all of them missing.
    #[must_use]
    pub fn new(len: usize) -> Self {
        let whole = 0..len;
        let missing = Some(whole).filter(|whole| !whole.is_empty());
        Self {
            bytes: vec![0; len],
            missing: missing.into_iter().collect(),
        }
    }

    /// A table of `len` bytes with the chunks of `outline` that also occur in `sources`.
    #[must_use]
    pub fn from_sources<'a>(
        outline: &Outline,
        len: usize,
        sources: impl Iterator<Item = &'a [u8]>,
    ) -> Self {
        let known: HashMap<_, _> = sources
            .flat_map(outline::chunks)
            .map(|(chunk, content)| ((chunk.len, chunk.digest), content))
            .collect();
        let mut assembly = Self::new(len);
        let mut offset = 0;
        for chunk in &outline.chunks {
            if let Some(content) = known.get(&(chunk.len, chunk.digest)) {
                assembly.insert(offset, content);
            }
            offset += chunk.len;
        }
        assembly
    }

    /// Inserts `piece` at `offset`, and returns whether some of it was missing. A piece beyond the
    /// end of the table is ignored.
    pub fn insert(&mut self, offset: usize, piece: &[u8]) -> bool {
        let Some(end) = offset.checked_add(piece.len()) else {
            return false;
        };
        let Some(target) = self.bytes.get_mut(offset..end) else {
            return false;
        };
        target.copy_from_slice(piece);
        let before = self.missing_bytes();
        let missing = std::mem::take(&mut self.missing);
        let remains = missing.into_iter().flat_map(|range| {
            let left = range.start..range.end.min(offset);
            let right = range.start.max(end)..range.end;
            [left, right]
        });
        self.missing = remains.filter(|range| !range.is_empty()).collect();
        self.missing_bytes() < before
    }

    /// Offset of the longest missing range; `None` if the table is complete.
    ///
    /// The first range may be one that changes with each version, so that requesting it first would
    /// make no progress while changes are frequent.
    #[must_use]
    pub fn next_missing(&self) -> Option<usize> {
        let ranges = self.missing.iter().rev();
        ranges
            .max_by_key(|range| range.len())
            .map(|range| range.start)
    }

    /// Number of missing bytes.
    #[must_use]
    pub fn missing_bytes(&self) -> usize {
        self.missing.iter().map(ExactSizeIterator::len).sum()
    }

    /// Size of the table in bytes.
    #[must_use]
    pub fn table_len(&self) -> usize {
        self.bytes.len()
    }

    /// The contiguous parts that are present.
    pub fn present(&self) -> impl Iterator<Item = &[u8]> {
        let starts = self.missing.iter().map(|range| range.end);
        let ends = self.missing.iter().map(|range| range.start);
        let starts = std::iter::once(0).chain(starts);
        let ends = ends.chain(std::iter::once(self.bytes.len()));
        let parts = starts.zip(ends).map(|(start, end)| &self.bytes[start..end]);
        parts.filter(|part| !part.is_empty())
    }

    /// The bytes of the complete table.
    #[must_use]
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }
}
