//! Replicated state of a VM's share.

use std::sync::Arc;

use crate::evidence;
use crate::limit::Generation;

/// Demand and transfers of one VM; written only by that VM.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// Generation of the transfers.
    pub generation: Generation,
    /// Members of the generation, sorted.
    pub members: Arc<[evidence::Source]>,
    /// Increases with every change, to detect stale copies.
    pub revision: u64,
    /// Units that the VM could use.
    pub demand: u64,
    /// Units transferred in this generation, by index of the receiver in `members`.
    /// Values never decrease; trailing zeros may be omitted.
    pub given: Vec<u64>,
}

impl Row {
    /// Creates a row without transfers.
    #[must_use]
    pub const fn new(
        generation: Generation,
        members: Arc<[evidence::Source]>,
        demand: u64,
    ) -> Self {
        Self {
            generation,
            members,
            revision: 0,
            demand,
            given: Vec::new(),
        }
    }

    /// Returns whether `self` supersedes `other`.
    #[must_use]
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.generation, self.revision) > (other.generation, other.revision)
    }

    /// Returns the units transferred to the member at `index`.
    #[must_use]
    pub fn transferred_to(&self, index: usize) -> u64 {
        self.given.get(index).copied().unwrap_or(0)
    }

    /// Returns the total of units transferred.
    #[must_use]
    pub fn total_transferred(&self) -> u64 {
        self.given.iter().sum()
    }

    /// Transfers `units` to the member at `index`.
    pub(super) fn transfer(&mut self, index: usize, units: u64) {
        if self.given.len() <= index {
            self.given.resize(index + 1, 0);
        }
        self.given[index] += units;
    }
}
