//! Operation names.

use std::{fmt, str};

/// An operation named by the target header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Reads one item.
    GetItem,
    /// Reads the items of a partition.
    Query,
    /// Writes items in one transaction.
    TransactWriteItems,
}

/// An unknown operation in the target header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownOperation;

impl Operation {
    const ALL: [Self; 3] = [Self::GetItem, Self::Query, Self::TransactWriteItems];

    /// Returns the value of the target header.
    #[must_use]
    pub const fn target(self) -> &'static str {
        match self {
            Self::GetItem => "DynamoDB_20120810.GetItem",
            Self::Query => "DynamoDB_20120810.Query",
            Self::TransactWriteItems => "DynamoDB_20120810.TransactWriteItems",
        }
    }
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.target())
    }
}

impl str::FromStr for Operation {
    type Err = UnknownOperation;

    fn from_str(target: &str) -> Result<Self, UnknownOperation> {
        let named = |operation: &Self| operation.target() == target;
        Self::ALL.into_iter().find(named).ok_or(UnknownOperation)
    }
}

impl fmt::Display for UnknownOperation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("unknown operation")
    }
}

impl std::error::Error for UnknownOperation {}
