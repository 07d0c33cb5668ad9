//! Usage records.

use crate::billing::Charge;
use crate::id;
use crate::time;

/// The usage record of a request.
///
/// The steps of a cascade are charges of one record, so that they are billed
/// atomically.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// The request; unique among all records.
    pub request: id::Request,
    /// The organisation that is billed.
    pub organisation: id::Organisation,
    /// Charges in the order of the work.
    pub charges: Vec<Charge>,
    /// When the answer ended.
    pub stamp: time::Timestamp,
}

impl Record {
    /// Sum of the charges, in micro-units.
    #[must_use]
    pub fn cost(&self) -> u64 {
        self.charges.iter().map(|charge| charge.cost).sum()
    }

    /// Encoded size in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
            .map_or(0, |bytes| bytes.len())
    }
}
