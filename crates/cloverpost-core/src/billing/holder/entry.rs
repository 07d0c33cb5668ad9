//! Copies of one run of a VM.

use crate::billing::{Copy, Ledger, Pending, Sequence, Watermark};
use crate::time;

/// Copies of one run of a VM.
#[derive(Clone, Debug, Default)]
pub(super) struct Entry {
    /// The source's watermark.
    pub mark: Watermark,
    /// Every record before this one is held or in the store.
    pub until: Sequence,
    /// The copies.
    pub pending: Pending,
    /// The takeover, once the source is considered dead.
    pub ledger: Option<Ledger>,
}

impl Entry {
    /// Drops the records before `mark`. A delayed message has an older watermark and
    /// has no effect.
    pub fn forget(&mut self, mark: Watermark) {
        self.mark = self.mark.max(mark);
        self.until = self.until.max(self.mark.sequence);
        self.pending.remove_before(self.mark.sequence);
    }

    /// Stores the records of `copy`, unless an earlier message is missing: an
    /// acknowledgement covers all records before it.
    pub fn keep(&mut self, copy: Copy, now: time::Moment) {
        self.forget(copy.mark);
        if copy.from > self.until {
            return;
        }
        for (sequence, record) in copy.records {
            if sequence >= self.until {
                self.pending.insert(sequence, record, now);
            }
        }
        self.until = self.until.max(copy.until);
    }
}
