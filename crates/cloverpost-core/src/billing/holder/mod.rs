//! Copies of other VMs' records, and their billing when such a VM dies.
//!
//! A holder that considers a VM dead reads the VM's account and appends the copies
//! that are missing from it. There is no leader election: all holders do the same,
//! and the version of the account prevents a record from being billed twice. A
//! holder that dies during the takeover leaves nothing to clean up.
//!
//! A holder refuses copies from a VM that it considers dead. If the VM is alive, it
//! selects another holder. A copy acknowledged after the takeover would not be
//! billed, since the holder would not notice a further death.

mod entry;
mod keep;
mod take_over;

use entry::Entry;

use std::collections::{BTreeMap, BTreeSet};

use crate::billing::{Options, Run, Source};
use crate::id;

/// Copies of other VMs' records.
#[derive(Clone, Debug)]
pub struct Holder {
    vm: id::Vm,
    run: Run,
    options: Options,
    entries: BTreeMap<Source, Entry>,
    dead: BTreeSet<id::Vm>,
}

impl Holder {
    /// Creates a holder on `vm` without copies.
    #[must_use]
    pub fn new(vm: id::Vm, run: Run, options: Options) -> Self {
        Self {
            vm,
            run,
            options,
            entries: BTreeMap::new(),
            dead: BTreeSet::new(),
        }
    }

    /// Estimated memory of the copies, in bytes.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.entries
            .values()
            .map(|entry| entry.pending.memory())
            .sum()
    }

    /// Number of copies.
    #[must_use]
    pub fn records(&self) -> usize {
        self.entries.values().map(|entry| entry.pending.len()).sum()
    }

    /// Whether a takeover is in progress.
    #[must_use]
    pub fn is_taking_over(&self) -> bool {
        self.entries.values().any(|entry| entry.ledger.is_some())
    }
}
