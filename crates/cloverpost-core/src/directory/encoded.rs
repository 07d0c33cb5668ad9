//! Tables as peers fetch them: encoded once, handed out in pieces.
//!
//! A configuration may be hundreds of kilobytes, and so may 3,000 upstreams. In one message it
//! takes a narrow link longer than a message may take while the other VMs of a zone fetch it as
//! well; what has come by then is lost, and asked for again. A piece is small, so that it comes
//! in time and what has come stays.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

use bytes::Bytes;

use crate::directory::{Change, Piece, Table, Version};

/// Bytes of a piece. Sixteen VMs that fetch at the same time have 256 kB under way, which a
/// link of 10 Mbit/s carries in a fifth of the time that a message may take.
pub const PIECE: usize = 16 * 1024;
/// Largest table that is fetched, in bytes; the store's own answers are no larger.
pub const LARGEST: usize = 4 * 1024 * 1024;
/// Encodings that are kept: the newest, and those that peers may still be fetching while
/// changes come faster than a narrow link carries one.
const KEPT: usize = 4;

/// A table, encoded.
#[derive(Clone, Debug)]
struct Encoded {
    version: Version,
    whole_as_of: Version,
    digest: u64,
    bytes: Bytes,
}

impl Encoded {
    fn new<T: Clone + serde::Serialize>(table: &Table<T>) -> Option<Self> {
        let rows: Vec<_> = table.rows.iter().map(Change::from_row).collect();
        let bytes = bincode::serde::encode_to_vec(&rows, bincode::config::standard()).ok()?;
        Some(Self {
            version: newest(table),
            whole_as_of: table.version,
            digest: digest(&bytes),
            bytes: bytes.into(),
        })
    }

    fn piece(&self, offset: usize) -> Piece {
        let start = offset.min(self.bytes.len());
        let end = (start + PIECE).min(self.bytes.len());
        Piece {
            version: self.version,
            whole_as_of: self.whole_as_of,
            digest: self.digest,
            len: self.bytes.len(),
            offset: start,
            bytes: self.bytes.slice(start..end),
        }
    }
}

/// Encodings of one table of a VM.
#[derive(Debug, Default)]
pub struct Editions {
    /// Oldest first.
    kept: VecDeque<Encoded>,
    /// Newest change of the table when it was encoded last.
    changed: Version,
}

impl Editions {
    /// The piece of version `wanted` at `offset`; if that version is not kept, the first piece
    /// of what `table` holds, as long as it is newer.
    pub fn piece<T: Clone + serde::Serialize>(
        &mut self,
        table: &Table<T>,
        wanted: Version,
        offset: usize,
    ) -> Option<Piece> {
        self.keep(table);
        if let Some(kept) = self.kept.iter().find(|one| one.version == wanted) {
            return Some(kept.piece(offset));
        }
        let newest = self.kept.back()?;
        (newest.version > wanted).then(|| newest.piece(0))
    }

    fn keep<T: Clone + serde::Serialize>(&mut self, table: &Table<T>) {
        if table.rows.is_empty() || self.changed == table.changed {
            return;
        }
        self.changed = table.changed;
        // After a removal the rows differ while the newest of them is the same.
        self.kept.retain(|one| one.version != newest(table));
        self.kept.extend(Encoded::new(table));
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
    }
}

/// Version of the newest row: it is the same on all VMs that hold the same rows.
#[must_use]
pub fn newest<T>(table: &Table<T>) -> Version {
    let versions = table.rows.values().map(|row| row.version);
    versions.max().unwrap_or_default()
}

/// The rows that `bytes` encode, if they are what `expected` was made from.
#[must_use]
pub fn decode<T: serde::de::DeserializeOwned>(
    bytes: &[u8],
    expected: u64,
) -> Option<Vec<Change<T>>> {
    if digest(bytes) != expected {
        return None;
    }
    let config = bincode::config::standard().with_limit::<LARGEST>();
    let (rows, read) = bincode::serde::decode_from_slice(bytes, config).ok()?;
    (read == bytes.len()).then_some(rows)
}

/// Equal on every VM: the default hasher has no random state. It tells pieces of differing
/// encodings apart, as two releases may have; it is no proof against forgery.
fn digest(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}
