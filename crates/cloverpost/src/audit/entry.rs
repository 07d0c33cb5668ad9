//! Entries of the audit trail.

use cloverpost_core::time;

/// One recorded change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Wall-clock time of the VM that wrote the entry; informational only.
    pub stamp: time::Timestamp,
    /// The operator or VM that made the change.
    pub actor: String,
    /// Action taken, such as `quarantine lifted`.
    pub action: String,
    /// Object of the action.
    pub subject: String,
    /// State of the object before the change; empty if it did not exist.
    pub before: String,
    /// State of the object after the change.
    pub after: String,
}
