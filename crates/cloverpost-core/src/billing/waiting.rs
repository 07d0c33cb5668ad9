//! Records whose callers wait for the end of their answers.

use std::collections::{BTreeMap, BTreeSet};

use crate::billing::{Copies, Durability, Options, Pending, Sequence};
use crate::time;

/// Records whose callers wait for the end of their answers.
#[derive(Clone, Debug, Default)]
pub struct Waiting {
    /// When each record was added.
    since: BTreeMap<Sequence, time::Moment>,
    /// Records whose answers were released and that were neither stored nor copied yet.
    unprotected: BTreeSet<Sequence>,
}

impl Waiting {
    /// Adds the record at `sequence`.
    pub fn insert(&mut self, sequence: Sequence, now: time::Moment) {
        self.since.entry(sequence).or_insert(now);
    }

    /// When the oldest record was added.
    #[must_use]
    pub fn oldest(&self) -> Option<time::Moment> {
        self.since.values().next().copied()
    }

    /// Whether a record is only in this VM's memory although its answer was
    /// released. Until it is stored or copied, new billable requests are refused, so
    /// that an isolated VM does not accumulate such records in a store outage.
    #[must_use]
    pub fn has_unprotected(&self) -> bool {
        !self.unprotected.is_empty()
    }

    /// Removes and returns the records that are stored, copied or timed out.
    pub fn release(
        &mut self,
        pending: &Pending,
        copies: &Copies,
        options: &Options,
        now: time::Moment,
    ) -> Vec<(Sequence, Durability)> {
        self.unprotected
            .retain(|sequence| pending.contains(*sequence) && copies.copy_count(*sequence) == 0);
        let mut released = Vec::new();
        for (sequence, since) in &self.since {
            let waited = now.since(*since);
            let held = copies.copy_count(*sequence);
            let durability = if !pending.contains(*sequence) {
                Durability::Stored
            } else if held > 0
                && (held >= copies.target_copies() || waited >= options.single_copy_timeout)
            {
                Durability::Replicated(held)
            } else if held == 0 && waited >= options.no_copy_timeout {
                Durability::Unprotected
            } else {
                continue;
            };
            released.push((*sequence, durability));
        }
        self.remove_released(&released);
        released
    }

    fn remove_released(&mut self, released: &[(Sequence, Durability)]) {
        for (sequence, durability) in released {
            self.since.remove(sequence);
            if *durability == Durability::Unprotected {
                self.unprotected.insert(*sequence);
            }
        }
    }
}
