//! Appends to one account, by its VM or by a holder that takes over.
//!
//! Exactly-once billing follows from two rules. First, an append is one transaction
//! that inserts segment `n` and rewrites the account, conditionally on the row
//! version that the appender last read. Second, the appender has read every segment
//! before `n` that could contain one of its records. Any other append changes the
//! version, so the transaction fails and the appender reads again.
//!
//! A lost response is handled like a conflict: the account and its new segments are
//! read, and the records found there are dropped. This is correct whether the write
//! took effect, did not, or does so later.

mod response;
mod step;

pub use response::Response;
pub use step::{Append, Step};

use std::time::Duration;

use crate::billing::{Account, Number, Options};
use crate::id;
use crate::time;

/// What the ledger knows about the account.
#[derive(Clone, Debug, PartialEq, Eq)]
enum View {
    /// The account must be read.
    Unread,
    /// The head is known; the segments from `Ledger::read_from` on are unread.
    Head { version: u64, account: Account },
    /// Head and segments are known. Version 0 means that there is no row.
    Current { version: u64, account: Account },
}

/// Appends to one account.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// The VM whose account it is.
    owner: id::Vm,
    /// The VM that appends.
    actor: id::Vm,
    view: View,
    /// First segment that is unread and may contain a pending record.
    read_from: Option<Number>,
    /// Whether a call to the store has not been answered.
    outstanding: bool,
    retry_delay: Duration,
    retry_at: time::Moment,
    options: Options,
}

impl Ledger {
    /// Creates the ledger of a VM for its own account.
    ///
    /// The first step reads the account. Segments that exist by then cannot contain
    /// records that are created after it, so they are not read. If a record is
    /// created before the answer, call [`Ledger::require_full_read`].
    #[must_use]
    pub fn own(vm: id::Vm, options: Options) -> Self {
        Self::new(vm.clone(), vm, None, options)
    }

    /// Creates the ledger of `actor` for the account of `owner`, which it considers
    /// dead. No segment before `read_from` contains a record to be appended.
    #[must_use]
    pub fn take_over(owner: id::Vm, actor: id::Vm, read_from: Number, options: Options) -> Self {
        Self::new(owner, actor, Some(read_from), options)
    }

    fn new(owner: id::Vm, actor: id::Vm, read_from: Option<Number>, options: Options) -> Self {
        Self {
            owner,
            actor,
            view: View::Unread,
            read_from,
            outstanding: false,
            retry_delay: options.backoff,
            retry_at: time::Moment::default(),
            options,
        }
    }

    /// Must be called when a record is created. If the account has not been read
    /// yet, a holder may take over and append the record before the first read, so
    /// all segments will be read.
    pub fn require_full_read(&mut self) {
        self.read_from.get_or_insert_default();
    }

    /// The first segment that may contain a pending record; `None` until the account
    /// is read or a record is created.
    #[must_use]
    pub const fn read_from(&self) -> Option<Number> {
        self.read_from
    }

    /// Whether a step is outstanding.
    #[must_use]
    pub const fn is_busy(&self) -> bool {
        self.outstanding
    }

    /// Whether the last call to the store failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.retry_delay > self.options.backoff
    }
}
