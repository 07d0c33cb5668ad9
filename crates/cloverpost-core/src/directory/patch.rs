//! What a copy of a table lacks.

use crate::directory::{Change, Version};

/// What brings an older copy of a table up to date, or part of the way.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Patch<T> {
    /// Version as of which the copy must be whole; without one, the patch is the whole table.
    pub base: Option<Version>,
    /// Version up to which the copy is whole afterwards.
    pub version: Version,
    /// The rows that changed in between, or all of them.
    pub changes: Vec<Change<T>>,
}
