//! Encoded tables that are transferred to peers in pieces.
//!
//! A configuration or a list of 3,000 upstreams takes hundreds of kilobytes. On a slow link that
//! several VMs share, a single message of that size would exceed its time limit and be discarded
//! and requested again. Small pieces arrive in time, and those already received are kept.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

use bytes::Bytes;

use crate::directory::{Change, Outline, Piece, Table, Version, outline};

/// Size of a piece in bytes. Sixteen concurrent fetches transfer 256 kB, which a link of 10 Mbit/s
/// carries in a fifth of the time limit of a message.
pub const PIECE_BYTES: usize = 16 * 1024;
/// Maximum size of an encoded table, in bytes; the same as for responses of the store.
pub const MAX_TABLE_BYTES: usize = 4 * 1024 * 1024;
/// Number of encodings that are cached: the newest, and older ones that peers may still be
/// fetching.
const MAX_CACHED: usize = 4;

/// An encoded table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Encoded {
    /// Version of the table's newest row.
    pub version: Version,
    /// Version at which the table consists of exactly these rows.
    pub snapshot_version: Version,
    /// Digest of the bytes.
    pub digest: u64,
    /// The encoded rows.
    pub bytes: Bytes,
}

impl Encoded {
    fn new<T: Clone + serde::Serialize>(table: &Table<T>) -> Option<Self> {
        let rows: Vec<_> = table.rows.iter().map(Change::from_row).collect();
        let bytes = bincode::serde::encode_to_vec(&rows, bincode::config::standard()).ok()?;
        Some(Self {
            version: newest(table),
            snapshot_version: table.version,
            digest: digest(&bytes),
            bytes: bytes.into(),
        })
    }

    fn outline(&self) -> Outline {
        Outline {
            version: self.version,
            snapshot_version: self.snapshot_version,
            digest: self.digest,
            chunks: outline::chunks(&self.bytes)
                .map(|(chunk, _)| chunk)
                .collect(),
        }
    }

    fn piece(&self, offset: usize) -> Piece {
        let start = offset.min(self.bytes.len());
        let end = (start + PIECE_BYTES).min(self.bytes.len());
        Piece {
            version: self.version,
            snapshot_version: self.snapshot_version,
            digest: self.digest,
            len: self.bytes.len(),
            offset: start,
            bytes: self.bytes.slice(start..end),
        }
    }
}

/// Cache of the encodings of one table.
#[derive(Debug, Default)]
pub struct Encodings {
    /// In order of encoding, oldest first.
    cached: VecDeque<Encoded>,
    /// Newest change of the table at the last encoding.
    changed: Version,
}

impl Encodings {
    /// The piece of version `wanted` at `offset`. If that version is not cached, the first piece
    /// of the current version, provided that it is newer.
    pub fn piece<T: Clone + serde::Serialize>(
        &mut self,
        table: &Table<T>,
        wanted: Version,
        offset: usize,
    ) -> Option<Piece> {
        self.refresh(table);
        if let Some(cached) = self.cached.iter().find(|one| one.version == wanted) {
            return Some(cached.piece(offset));
        }
        let newest = self.cached.back()?;
        (newest.version > wanted).then(|| newest.piece(0))
    }

    /// The outline of version `wanted`. If that version is not cached, of the current version,
    /// provided that it is newer.
    pub fn outline<T: Clone + serde::Serialize>(
        &mut self,
        table: &Table<T>,
        wanted: Version,
    ) -> Option<Outline> {
        self.refresh(table);
        if let Some(cached) = self.cached.iter().find(|one| one.version == wanted) {
            return Some(cached.outline());
        }
        let newest = self.cached.back()?;
        (newest.version > wanted).then(|| newest.outline())
    }

    /// The encoding of `table`.
    pub fn newest<T: Clone + serde::Serialize>(&mut self, table: &Table<T>) -> Option<&Encoded> {
        self.refresh(table);
        self.cached.back()
    }

    /// Caches `encoded`, the encoding of `table` that a peer sent.
    pub fn insert<T>(&mut self, table: &Table<T>, encoded: Encoded) {
        self.changed = table.changed;
        self.add(encoded);
    }

    fn add(&mut self, encoded: Encoded) {
        // A removal changes the rows but may leave the newest row's version as it was.
        self.cached.retain(|one| one.version != encoded.version);
        self.cached.push_back(encoded);
        if self.cached.len() > MAX_CACHED {
            self.cached.pop_front();
        }
    }

    fn refresh<T: Clone + serde::Serialize>(&mut self, table: &Table<T>) {
        if table.rows.is_empty() || self.changed == table.changed {
            return;
        }
        self.changed = table.changed;
        if let Some(encoded) = Encoded::new(table) {
            self.add(encoded);
        }
    }
}

/// Version of the newest row; identical on all VMs that hold the same rows.
#[must_use]
pub fn newest<T>(table: &Table<T>) -> Version {
    let versions = table.rows.values().map(|row| row.version);
    versions.max().unwrap_or_default()
}

/// Decodes `bytes`; `None` if they do not match the digest `expected` or are malformed.
#[must_use]
pub fn decode<T: serde::de::DeserializeOwned>(
    bytes: &[u8],
    expected: u64,
) -> Option<Vec<Change<T>>> {
    if digest(bytes) != expected {
        return None;
    }
    let config = bincode::config::standard().with_limit::<MAX_TABLE_BYTES>();
    let (rows, read) = bincode::serde::decode_from_slice(bytes, config).ok()?;
    (read == bytes.len()).then_some(rows)
}

/// Distinguishes different encodings of a version, for instance by two releases; not
/// cryptographic. `DefaultHasher::new` is not randomly seeded, so all VMs compute the same digest.
pub(super) fn digest(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}
