//! Incremental updates of a table.

use crate::directory::{Change, Row, Version};

/// Changes that bring an older copy of a table up to date, completely or in part.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Patch<T> {
    /// Version up to which the copy must be complete for the patch to apply. `None` if the patch
    /// contains the whole table.
    pub base: Option<Version>,
    /// Version up to which the copy is complete after the patch.
    pub version: Version,
    /// The rows that changed after `base`, or all rows.
    pub changes: Vec<Change<T>>,
    /// Keys for which the sender keeps what it knows of an earlier era, with the store's row, or
    /// `None` if the store has none.
    pub overruled: Vec<(String, Option<Row<T>>)>,
}
