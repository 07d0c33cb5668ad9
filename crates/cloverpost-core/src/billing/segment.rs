//! Segments, the unit of writes to the store.

use std::fmt;

use crate::billing::{Number, Record};
use crate::id;

/// Records that are written to the store together.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Segment {
    /// Owner of the account.
    pub vm: id::Vm,
    /// Number within the account.
    pub number: Number,
    /// The VM that wrote it: the owner, or a holder that took over.
    pub writer: id::Vm,
    /// The records.
    pub records: Vec<Record>,
}

/// The error returned when a billing row cannot be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    reason: String,
}

impl Error {
    /// Creates an error from its cause.
    pub(super) fn new(reason: &impl ToString) -> Self {
        let reason = reason.to_string();
        Self { reason }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid billing row: {}", self.reason)
    }
}

impl std::error::Error for Error {}

impl Segment {
    /// Encodes the segment for the store.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let config = bincode::config::standard();
        bincode::serde::encode_to_vec(self, config).map_err(|error| Error::new(&error))
    }

    /// Decodes a segment from the store.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let config = bincode::config::standard();
        let (segment, _) =
            bincode::serde::decode_from_slice(bytes, config).map_err(|error| Error::new(&error))?;
        Ok(segment)
    }
}
