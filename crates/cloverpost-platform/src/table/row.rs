//! Table rows.

use bytes::Bytes;

/// A row as read from the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Starts at 1 and increases with each write of the row.
    pub version: u64,
    /// Content, opaque to the table.
    pub value: Bytes,
}
