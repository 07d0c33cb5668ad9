//! Generations of a split limit.

use sha2::Digest;

use crate::evidence;

/// Identifies a split among a set of members; the largest one is in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Generation {
    number: u64,
    /// Hash of the members. It separates splits that start concurrently under the same
    /// number with different members.
    members: u64,
}

impl Generation {
    /// Returns the generation after `self` for the sorted `members`.
    #[must_use]
    pub fn next<'a>(self, members: impl IntoIterator<Item = &'a evidence::Source>) -> Self {
        let mut hash = sha2::Sha256::new();
        for member in members {
            hash.update(member.vm.as_str());
            hash.update(member.process.get().to_be_bytes());
        }
        let hash = hash.finalize();
        let first = hash.iter().take(size_of::<u64>());
        Self {
            number: self.number + 1,
            members: first.fold(0, |word, byte| (word << u8::BITS) | u64::from(*byte)),
        }
    }
}
