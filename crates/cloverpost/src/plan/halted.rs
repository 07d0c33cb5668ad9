//! The set of halted versions in the snapshot.

use std::collections::BTreeSet;

use cloverpost_core::catalogue;
use cloverpost_core::rollout::Halt;

/// Halted versions. A halt is never removed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Halted(BTreeSet<Halt>);

impl Halted {
    /// Whether `entry` may receive new requests.
    #[must_use]
    pub fn allows(&self, entry: &catalogue::Entry) -> bool {
        self.0.is_empty() || !self.0.contains(&Halt::from(entry))
    }

    /// Adds a halt; returns whether it is new.
    pub fn insert(&mut self, halt: Halt) -> bool {
        self.0.insert(halt)
    }

    /// All halts, to send to peers.
    #[must_use]
    pub fn all(&self) -> Vec<Halt> {
        self.0.iter().cloned().collect()
    }
}
