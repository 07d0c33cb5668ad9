//! Manifests of the rows that a transaction claimed, partitioned by hour.
//!
//! A manifest is written in the same transaction as its rows. If the response to the
//! transaction is lost, reading the manifest tells whether all rows were written. A
//! sweep uses the manifests to find old claims without scanning the table.

use std::time::Duration;

use cloverpost_core::{claim, time};
use cloverpost_platform::table;

use crate::claim::scoped_key;

/// The rows that one transaction claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Manifest(pub Vec<scoped_key::ScopedKey>);

/// Hours since the Unix epoch, by the wall clock of the writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Hour(u64);

/// Generates the keys of the manifests of one process.
#[derive(Debug)]
pub struct KeyGenerator {
    claimant: claim::Claimant,
    count: u64,
}

impl Hour {
    const LENGTH: Duration = Duration::from_hours(1);

    /// The hour of `stamp`.
    #[must_use]
    pub fn of(stamp: time::Timestamp) -> Self {
        Self(stamp.as_millis() / 1000 / Self::LENGTH.as_secs())
    }

    /// The hour that is `span`, rounded up to whole hours, earlier.
    #[must_use]
    pub fn earlier(self, span: Duration) -> Self {
        let hours = span.as_secs().div_ceil(Self::LENGTH.as_secs());
        Self(self.0.saturating_sub(hours))
    }

    /// The hour before this one.
    #[must_use]
    pub fn before(self) -> Self {
        self.earlier(Self::LENGTH)
    }

    /// Partition of the hour's manifests.
    #[must_use]
    pub fn partition(self) -> String {
        format!("claim-hour/{}", self.0)
    }
}

impl KeyGenerator {
    /// Creates a generator for the manifests of `claimant`.
    #[must_use]
    pub const fn new(claimant: claim::Claimant) -> Self {
        Self { claimant, count: 0 }
    }

    /// Returns a key that this process has not used before.
    pub fn next(&mut self, now: time::Timestamp) -> table::Key {
        self.count += 1;
        let Self { claimant, count } = self;
        let (vm, process) = (&claimant.vm, claimant.process);
        table::Key::new(
            Hour::of(now).partition(),
            format!("{vm}/{process}/{count:012}"),
        )
    }
}

impl Manifest {
    /// Encodes the manifest for the table.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
            .expect("bincode can encode every field")
    }

    /// Decodes a manifest; `None` if `bytes` are not one.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let config = bincode::config::standard();
        let (manifest, _) = bincode::serde::decode_from_slice(bytes, config).ok()?;
        Some(manifest)
    }
}
