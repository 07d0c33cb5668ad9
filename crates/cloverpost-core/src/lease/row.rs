//! The row of a lease.

use std::fmt;
use std::time::Duration;

use crate::id;
use crate::lease::Holder;

/// The stored state of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// The holder; `None` after a release.
    pub holder: Option<Holder>,
    /// Fencing token; increases with each change of the holder.
    pub fence: id::Fence,
    /// Sequence number of the write within its process; distinguishes renewals.
    pub number: u64,
    /// Lease duration of the holder. Observers use it instead of their own
    /// setting, so that releases with different settings can share the lease.
    pub duration: Duration,
}

/// A row with its version in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedRow {
    /// Version of the row.
    pub version: u64,
    /// The row.
    pub row: Row,
}

/// Encodings of a row. A new encoding is a new variant.
#[derive(serde::Serialize, serde::Deserialize)]
enum Layout {
    First(Row),
}

/// The error returned when bytes are not a lease row, or one written by a later
/// release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeError;

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("cannot decode lease row")
    }
}

impl std::error::Error for DecodeError {}

impl Row {
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
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
        match decoded {
            Ok((Layout::First(row), used)) if used == bytes.len() => Ok(row),
            _ => Err(DecodeError),
        }
    }
}
