//! Sets of roster members.

/// A bit set over the members of a roster, by index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct MemberSet(Vec<u8>);

impl MemberSet {
    /// An empty set for a roster of `members` members.
    #[must_use]
    pub fn empty(members: usize) -> Self {
        Self(vec![0; members.div_ceil(8)])
    }

    /// Adds the member at `index`.
    pub fn insert(&mut self, index: usize) {
        if let Some(byte) = self.0.get_mut(index / 8) {
            *byte |= 1 << (index % 8);
        }
    }

    /// Whether the set contains the member at `index`.
    #[must_use]
    pub fn contains(&self, index: usize) -> bool {
        let byte = self.0.get(index / 8).copied().unwrap_or(0);
        byte & (1 << (index % 8)) != 0
    }

    /// Adds all members of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (byte, other) in self.0.iter_mut().zip(&other.0) {
            *byte |= other;
        }
    }
}
