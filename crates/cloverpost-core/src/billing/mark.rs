//! Watermark of a source's stored records.

use crate::billing::{Number, Sequence};

/// Watermark of a source's stored records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Watermark {
    /// Every record before this one is in the store.
    pub sequence: Sequence,
    /// No segment before this one contains a record at or after `sequence`, so a
    /// takeover need not read them.
    pub segment: Number,
}
