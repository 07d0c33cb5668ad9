//! Messages between a VM and the holders of its copies.

use crate::billing::{Record, Run, Sequence, Source, Stream, Watermark};

/// A message between a VM and a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// To a holder: records to hold.
    Copy(Copy),
    /// From a holder: acknowledgement or refusal.
    Copied(Copied),
    /// To a holder: records that are in the store.
    Forget(Forget),
}

/// Records for a holder to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Copy {
    /// Source of the records.
    pub source: Source,
    /// Stream that the message belongs to.
    pub stream: Stream,
    /// Watermark of the stored records.
    pub mark: Watermark,
    /// Start of the covered range, inclusive.
    pub from: Sequence,
    /// End of the covered range, exclusive.
    pub until: Sequence,
    /// Records of the range that are not in the store.
    pub records: Vec<(Sequence, Record)>,
}

/// Acknowledgement or refusal of a [`struct@Copy`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Copied {
    /// Source of the records.
    pub source: Source,
    /// Stream of the message that is answered.
    pub stream: Stream,
    /// Run of the holder. A change shows that it restarted and lost its copies.
    pub holder: Run,
    /// Every record before this one is held or in the store.
    pub until: Sequence,
    /// The holder rejected the message and should not be selected for a time.
    pub refused: bool,
}

/// Records that a holder may drop.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Forget {
    /// Source of the records.
    pub source: Source,
    /// Watermark of the stored records.
    pub mark: Watermark,
}
