//! Row keys.

use std::fmt;

/// Key of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Partition key. Rows of one partition can be listed together.
    pub partition: String,
    /// Sort key. Rows of a partition are in its byte order.
    pub sort: String,
}

impl Key {
    /// Creates a key from a partition key and a sort key.
    #[must_use]
    pub fn new(partition: impl Into<String>, sort: impl Into<String>) -> Self {
        Self {
            partition: partition.into(),
            sort: sort.into(),
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.partition, self.sort)
    }
}
