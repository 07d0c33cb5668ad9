//! Leases with fencing tokens, expired by observation.
//!
//! A lease is one row of the table. The row is never deleted, so its fencing token
//! only increases. Clocks of VMs are not compared: the holder measures the lease
//! duration from *before* it sent its last write, and an observer measures the same
//! duration from *after* it first read that write. The lease therefore expires for
//! the holder first, whatever the clocks say and however long either was paused.
//!
//! Each write carries a number. A write whose response was lost is recognised by
//! that number when the row is read back, and the lease is then measured from when
//! the write was sent.

pub mod acquire;
mod holder;
mod options;
pub mod release;
pub mod renew;
mod row;
mod tenure;
mod watch;
mod write;

pub use holder::Holder;
pub use options::Options;
pub use row::{DecodeError, Row, VersionedRow};
pub use write::Write;

use std::time::Duration;

use crate::id;
use crate::time;
use tenure::Tenure;
use watch::Watch;
use write::SentWrites;

/// A process's view of a lease, held or not.
#[derive(Clone, Debug)]
pub struct Lease {
    holder: Holder,
    options: Options,
    /// Observes when the lease of another holder expires.
    watch: Watch,
    /// Writes that may still be confirmed.
    sent_writes: SentWrites,
    /// Present while this process holds the lease.
    tenure: Option<Tenure>,
    /// Highest fencing token that an engine is known to have accepted.
    highest_fence: id::Fence,
}

impl Lease {
    /// Creates the view of `holder`, which does not hold the lease yet.
    #[must_use]
    pub const fn new(holder: Holder, options: Options) -> Self {
        Self {
            holder,
            options,
            watch: Watch::new(),
            sent_writes: SentWrites::new(),
            tenure: None,
            highest_fence: id::Fence::new(0),
        }
    }

    /// Time until the lease expires; zero if it is not held.
    #[must_use]
    pub fn remaining(&self, now: time::Moment) -> Duration {
        let tenure = self.tenure.as_ref();
        tenure.map_or(Duration::ZERO, |tenure| {
            let age = now.since(tenure.renewed_at);
            self.options.duration.saturating_sub(age)
        })
    }

    /// Returns the fencing token for an action that takes `action_time`, if the
    /// lease lasts longer than that plus the margin.
    ///
    /// Call it immediately before the action: the process may be paused for any
    /// time in between.
    #[must_use]
    pub fn fence_for(&self, action_time: Duration, now: time::Moment) -> Option<id::Fence> {
        let has_time = self.remaining(now) > action_time.saturating_add(self.options.margin);
        let tenure = self.tenure.as_ref().filter(|_| has_time);
        tenure.map(|tenure| tenure.fence)
    }

    /// When this process learnt that it had acquired the lease.
    #[must_use]
    pub fn acquired_at(&self) -> Option<time::Moment> {
        self.tenure.as_ref().map(|tenure| tenure.acquired_at)
    }

    /// Ends the tenure because an engine has accepted the newer fencing token
    /// `newer`.
    pub fn superseded_by(&mut self, newer: id::Fence) {
        self.highest_fence = self.highest_fence.max(newer);
        self.end_tenure();
    }

    /// Ends the tenure without releasing the row.
    pub fn stop(&mut self) {
        self.end_tenure();
    }

    /// Ends the tenure and drops the sent writes that could resume it: a
    /// release may still be in flight, and would end a resumed tenure without the
    /// holder noticing.
    fn end_tenure(&mut self) {
        self.tenure = None;
        self.sent_writes.clear();
    }

    /// Whether `row` was written by this process in its current tenure.
    fn is_current_tenure(&self, row: &Row) -> bool {
        let tenure = self.tenure.as_ref();
        row.holder.as_ref() == Some(&self.holder)
            && tenure.is_some_and(|tenure| tenure.fence == row.fence)
    }

    /// Prepares a write that replaces the row `over`.
    fn write(&mut self, over: Option<&VersionedRow>, holds: bool, now: time::Moment) -> Write {
        let row = Row {
            holder: holds.then(|| self.holder.clone()),
            fence: self.fence_over(over, holds),
            number: self.sent_writes.add(now),
            duration: self.options.duration,
        };
        Write {
            expected_version: over.map(|seen| seen.version),
            row,
        }
    }

    /// The next fencing token for a new tenure, otherwise that of the row.
    fn fence_over(&self, over: Option<&VersionedRow>, holds: bool) -> id::Fence {
        let last = over.map_or_else(id::Fence::default, |seen| seen.row.fence);
        if !holds || over.is_some_and(|seen| self.is_current_tenure(&seen.row)) {
            last
        } else {
            last.max(self.highest_fence).next()
        }
    }

    /// Starts or extends the tenure from `row`, which is known to have taken
    /// effect. Returns `false` if it is not a remembered write of this process.
    fn confirm_write(&mut self, row: &Row, now: time::Moment) -> bool {
        let Some(renewed_at) = self.sent_writes.confirm(row.number) else {
            return false;
        };
        match &mut self.tenure {
            Some(tenure) if tenure.fence == row.fence => {
                tenure.renewed_at = tenure.renewed_at.max(renewed_at);
            }
            _ => {
                self.tenure = Some(Tenure {
                    fence: row.fence,
                    renewed_at,
                    acquired_at: now,
                });
            }
        }
        true
    }
}
