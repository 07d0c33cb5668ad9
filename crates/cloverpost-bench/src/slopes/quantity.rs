//! Kinds of cost.

use std::fmt;

/// A kind of cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    /// CPU time, in nanoseconds.
    Cpu,
    /// Bytes sent.
    Sent,
    /// Bytes received.
    Received,
    /// Bytes of memory in use.
    Memory,
    /// Rows written to the store.
    Rows,
    /// Write transactions sent to the store.
    Writes,
    /// Reads sent to the store.
    Reads,
    /// Bytes written to the store.
    Stored,
}

impl Quantity {
    /// Every kind of cost.
    pub const ALL: &[Self] = &[
        Self::Cpu,
        Self::Sent,
        Self::Received,
        Self::Memory,
        Self::Rows,
        Self::Writes,
        Self::Reads,
        Self::Stored,
    ];
}

impl fmt::Display for Quantity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Cpu => "cpu ns",
            Self::Sent => "bytes sent",
            Self::Received => "bytes received",
            Self::Memory => "bytes held",
            Self::Rows => "rows written",
            Self::Writes => "writes",
            Self::Reads => "reads",
            Self::Stored => "bytes stored",
        })
    }
}
