//! Messages from the VMs whose copies are held.

use crate::billing::{Copied, Copy, Forget, Holder, Source};
use crate::time;

impl Holder {
    /// Stores the records of `copy` and returns the acknowledgement.
    pub fn copy(&mut self, copy: Copy, now: time::Moment) -> Copied {
        let source = copy.source.clone();
        let stream = copy.stream;
        self.take_over_older_runs(&source);
        let refused = self.refuses(&copy);
        if !refused {
            let entry = self.entries.entry(source.clone()).or_default();
            entry.keep(copy, now);
        }
        let entry = self.entries.get(&source);
        Copied {
            holder: self.run,
            until: entry.map(|entry| entry.until).unwrap_or_default(),
            source,
            stream,
            refused,
        }
    }

    /// Drops copies that are in the store.
    pub fn forget(&mut self, forget: &Forget) {
        if let Some(entry) = self.entries.get_mut(&forget.source) {
            entry.forget(forget.mark);
        }
        self.drop_finished();
    }

    fn refuses(&self, copy: &Copy) -> bool {
        let entry = self.entries.get(&copy.source);
        let taken = entry.is_some_and(|entry| entry.ledger.is_some());
        taken || self.dead.contains(&copy.source.vm) || self.is_full(copy)
    }

    fn is_full(&self, copy: &Copy) -> bool {
        let size: usize = copy.records.iter().map(|(_, record)| record.size()).sum();
        self.memory() + size > self.options.held_bytes
    }

    /// A message from a new run of a VM shows that its earlier runs have ended.
    fn take_over_older_runs(&mut self, source: &Source) {
        let older = |held: &&Source| held.vm == source.vm && held.run != source.run;
        let older: Vec<_> = self.entries.keys().filter(older).cloned().collect();
        for held in older {
            self.take_over(&held);
        }
    }
}
