//! State machine of a VM's billing: its records, their copies and the copies of
//! other VMs' records.
//!
//! The caller passes in events, then carries out the actions that [`Machine::poll`]
//! returns. The answer to each store call is an event.

mod action;
mod event;
mod poll;

pub use action::Action;

use crate::billing::{
    Copies, Holder, Ledger, Options, Pending, Record, Sequence, Source, Waiting, Watermark,
};
use crate::id;
use crate::refusal;
use crate::time;

/// State machine of a VM's billing.
#[derive(Clone, Debug)]
pub struct Machine {
    options: Options,
    /// Sequence number of this VM's next record.
    next: Sequence,
    /// This VM's records.
    pending: Pending,
    /// Watermark of this VM's stored records.
    mark: Watermark,
    /// Appends to this VM's account.
    ledger: Ledger,
    /// Copies of this VM's records on its peers.
    copies: Copies,
    /// Copies of other VMs' records.
    holder: Holder,
    waiting: Waiting,
    /// Whether records are written without waiting to fill a segment.
    flushing: bool,
}

impl Machine {
    /// Creates the billing of `source`, a VM in `zone`.
    #[must_use]
    pub fn new(source: Source, zone: id::AvailabilityZone, options: Options) -> Self {
        Self {
            options,
            next: Sequence::default(),
            pending: Pending::default(),
            mark: Watermark::default(),
            ledger: Ledger::own(source.vm.clone(), options),
            holder: Holder::new(source.vm.clone(), source.run, options),
            copies: Copies::new(source, zone, options),
            waiting: Waiting::default(),
            flushing: false,
        }
    }

    /// The reason to refuse new billable requests, if there is one.
    ///
    /// Requests are refused when there is no room for their records. Requests in
    /// flight are still recorded, so the limit is exceeded by at most one record for
    /// each of them.
    ///
    /// Requests are also refused until the store has answered the first call, with
    /// success or failure. Waiting for success would make a fleet that is replaced
    /// during an outage refuse all requests, although peers can hold the records.
    #[must_use]
    pub fn refusal(&self) -> Option<refusal::Code> {
        let full = self.pending.memory() >= self.options.pending_bytes
            || self.pending.len() >= self.options.pending_records;
        let unread = self.ledger.read_from().is_none() && !self.ledger.is_failing();
        let refuses = full || unread || self.waiting.has_unprotected();
        refuses.then_some(refusal::Code::StoreUnavailable)
    }

    /// Own records that are not known to be in the store.
    #[must_use]
    pub const fn pending(&self) -> &Pending {
        &self.pending
    }

    /// Copies of other VMs' records.
    #[must_use]
    pub const fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Whether no action will become due without a further event.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let own = self.pending.is_empty() && self.ledger.read_from().is_some();
        own && !self.holder.is_taking_over()
    }
}

impl Machine {
    /// Adds `record` and returns its sequence number, which [`Action::Release`] carries
    /// once the end of the answer may be sent.
    pub fn record(&mut self, record: Record, now: time::Moment) -> Sequence {
        self.ledger.require_full_read();
        let sequence = self.pending.insert(self.next, record, now);
        if sequence == self.next {
            self.next = self.next.next();
        }
        self.waiting.insert(sequence, now);
        sequence
    }

    /// From now on, writes pending records without waiting to fill a segment.
    pub const fn flush(&mut self) {
        self.flushing = true;
    }
}
