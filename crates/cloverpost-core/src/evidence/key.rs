//! Key of rating counts.

use crate::id;

/// Identifies the answers of an entry to an organisation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Key {
    /// Entry that produced the answer.
    pub entry: id::Entry,
    /// Organisation that sent the request.
    pub organisation: id::Organisation,
    /// Entry whose answer to the same request failed before.
    ///
    /// Such requests are harder than average, so their ratings are counted separately.
    pub after: Option<id::Entry>,
}
