//! Rows of claims in the table.

use std::fmt;

use crate::claim;
use crate::id;
use crate::time;

/// The claim of one idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// The process that claimed the key.
    pub claimant: claim::Claimant,
    /// The request that it was claimed for; unique to each attempt to claim.
    pub request: id::Request,
    /// Hash of the request.
    pub body: claim::RequestHash,
    /// When it was claimed, for operators and for retention.
    pub at: time::Timestamp,
    /// State of the request.
    pub state: claim::State,
}

/// A row with its version in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedRow {
    /// Version of the row.
    pub version: u64,
    /// The row.
    pub row: Row,
}

/// Encodings of a row. A new encoding is a new variant, so that VMs of two
/// releases can share the table during a rollout.
#[derive(serde::Serialize, serde::Deserialize)]
enum Layout {
    First(Row),
}

/// The error returned when bytes are not a claim row, or one written by a later
/// release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Error;

impl Row {
    /// Whether `other` was claimed by the same process for the same request.
    #[must_use]
    pub fn same_claim(&self, other: &Self) -> bool {
        self.claimant == other.claimant && self.request == other.request
    }

    /// Returns the row with its state replaced.
    #[must_use]
    pub fn with_state(&self, state: claim::State) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }

    /// Encodes the row for the table.
    ///
    /// # Panics
    ///
    /// Never: bincode can encode every field.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let layout = Layout::First(self.clone());
        bincode::serde::encode_to_vec(layout, bincode::config::standard())
            .expect("bincode can encode every field")
    }

    /// Decodes a row from the table.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let config = bincode::config::standard();
        let (layout, used) = bincode::serde::decode_from_slice(bytes, config).map_err(|_| Error)?;
        let Layout::First(row) = layout;
        if used == bytes.len() {
            Ok(row)
        } else {
            Err(Error)
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("cannot decode claim row")
    }
}

impl std::error::Error for Error {}
