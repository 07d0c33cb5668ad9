//! The next call to the store.

use crate::billing::ledger::{Ledger, View};
use crate::billing::{Account, Number, Pending, Segment};
use crate::id;
use crate::time;

/// A call to the store. At most one is outstanding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the head of the account.
    ReadAccount {
        /// Owner of the account.
        owner: id::Vm,
    },
    /// Read as many segments as one call returns.
    ReadSegments {
        /// Owner of the account.
        owner: id::Vm,
        /// Start of the range, inclusive.
        from: Number,
        /// End of the range, exclusive.
        until: Number,
    },
    /// Append a segment.
    Append(Box<Append>),
}

/// A transaction that rewrites the account conditionally and inserts the segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    /// Expected version of the account's row; 0 if no row may exist.
    pub version: u64,
    /// The account after the append.
    pub account: Account,
    /// The segment.
    pub segment: Segment,
}

impl Ledger {
    /// Returns the next call for `pending`; `None` while a call is outstanding, during
    /// the back-off after a failure, or if there are no pending records and the
    /// account need not be read.
    pub fn step(&mut self, pending: &Pending, now: time::Moment) -> Option<Step> {
        let idle = pending.is_empty() && self.read_from.is_some();
        if self.outstanding || now < self.retry_at || idle {
            return None;
        }
        self.outstanding = true;
        Some(self.call(pending))
    }

    fn call(&self, pending: &Pending) -> Step {
        let owner = self.owner.clone();
        match (&self.view, self.read_from) {
            (View::Head { account, .. }, Some(from)) => Step::ReadSegments {
                owner,
                from,
                until: account.next,
            },
            (View::Current { version, account }, _) => {
                Step::Append(Box::new(self.append(*version, account, pending)))
            }
            _ => Step::ReadAccount { owner },
        }
    }

    fn append(&self, version: u64, account: &Account, pending: &Pending) -> Append {
        let segment = Segment {
            vm: self.owner.clone(),
            number: account.next,
            writer: self.actor.clone(),
            records: pending.batch(self.options.segment_bytes),
        };
        Append {
            version,
            account: account.appended(&self.owner, &self.actor),
            segment,
        }
    }
}
