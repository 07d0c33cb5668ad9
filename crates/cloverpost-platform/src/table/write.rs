//! Row writes.

use bytes::Bytes;

use crate::table::{Condition, Key};

/// A write to one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Key of the row.
    pub key: Key,
    /// Precondition of the write.
    pub condition: Condition,
    /// New content, or `None` to delete the row.
    pub value: Option<Bytes>,
}

impl Write {
    /// Creates a write that stores `value` if `condition` holds.
    #[must_use]
    pub fn put(key: Key, condition: Condition, value: impl Into<Bytes>) -> Self {
        Self {
            key,
            condition,
            value: Some(value.into()),
        }
    }

    /// Creates a write that deletes the row if `condition` holds.
    #[must_use]
    pub fn delete(key: Key, condition: Condition) -> Self {
        Self {
            key,
            condition,
            value: None,
        }
    }
}
