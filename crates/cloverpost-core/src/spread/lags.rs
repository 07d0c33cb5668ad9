//! Revision lags of members, encoded in four bits each.

use crate::id;

/// Marks a lag that is unknown or too large for four bits.
const UNKNOWN: u8 = 15;

/// For each member of a roster, an upper bound of how many revisions it is behind.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Lags {
    /// No member is behind.
    None,
    /// Lags of all members, two per byte.
    Some(Vec<u8>),
}

impl Lags {
    /// Encodes the lags of members that hold the revisions `held`, relative to
    /// `newest`.
    #[must_use]
    pub fn of(held: &[id::Revision], newest: id::Revision) -> Self {
        let lags: Vec<u8> = held.iter().map(|&held| lag(held, newest)).collect();
        if lags.iter().all(|&lag| lag == 0) {
            return Self::None;
        }
        Self::Some(pack(&lags))
    }

    /// Lower bound of the revision held by the member at `index`, if known.
    #[must_use]
    pub fn held_revision(&self, index: usize, newest: id::Revision) -> Option<id::Revision> {
        let lag = match self {
            Self::None => 0,
            Self::Some(bytes) => nibble(bytes, index)?,
        };
        let number = newest.get().checked_sub(u64::from(lag))?;
        (lag != UNKNOWN).then_some(id::Revision::new(number))
    }
}

fn lag(held: id::Revision, newest: id::Revision) -> u8 {
    let steps = newest.get().saturating_sub(held.get());
    u8::try_from(steps).unwrap_or(UNKNOWN).min(UNKNOWN)
}

/// Packs values below 16, two per byte, low nibble first.
pub(super) fn pack(values: &[u8]) -> Vec<u8> {
    let byte = |pair: &[u8]| pair[0] | pair.get(1).copied().unwrap_or(0) << 4;
    values.chunks(2).map(byte).collect()
}

/// Reads the value at `index` from packed values.
pub(super) fn nibble(bytes: &[u8], index: usize) -> Option<u8> {
    let byte = bytes.get(index / 2)?;
    Some(if index.is_multiple_of(2) {
        byte & 15
    } else {
        byte >> 4
    })
}
