//! Content of a session token.

use crate::id;
use crate::time;

/// A session of an organisation, bound to one version of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Token {
    /// Organisation that the session belongs to.
    pub organisation: id::Organisation,
    /// Entry that serves it.
    pub entry: id::Entry,
    /// Version of the entry at the start of the session.
    pub version: id::Version,
    /// Start of the session.
    pub issued: time::Timestamp,
    /// Unique identifier of the session.
    pub id: id::Session,
}
