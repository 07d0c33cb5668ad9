//! Revision records.

use cloverpost_core::{id, time};

use crate::revisions::Body;

/// An accepted revision, with its audit information.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// Revision number.
    pub number: id::Revision,
    /// The revision it is based on, always `number - 1`.
    pub predecessor: id::Revision,
    /// The edit that created it.
    pub edit: id::Edit,
    /// Author of the edit.
    pub editor: id::Operator,
    /// Wall-clock time of the VM that accepted the edit; informational only.
    pub stamp: time::Timestamp,
    /// The editor's description of the change.
    pub comment: String,
    /// Hex-encoded SHA-256 of the text.
    pub hash: String,
    /// The catalogue as TOML, or a reference to it.
    pub body: Body,
}
