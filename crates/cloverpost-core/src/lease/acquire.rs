//! Acquires a lease.

use std::time::Duration;

use crate::lease::{Lease, Row, VersionedRow, Write};
use crate::time;

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The lease is held.
    Held,
    /// Make this write. Then call [`Lease::acquired_by`] if it took effect, or read
    /// the row.
    Write(Write),
    /// Another holder has the lease. Read the row again within this time.
    Wait(Duration),
}

impl Lease {
    /// Returns the next step after a read of the row. `now` must be later than
    /// the read.
    pub fn acquire(&mut self, seen: Option<&VersionedRow>, now: time::Moment) -> Step {
        let Some(row) = seen else {
            return Step::Write(self.write(None, true, now));
        };
        if row.row.holder.as_ref() == Some(&self.holder) {
            if self.confirm_write(&row.row, now) {
                return Step::Held;
            }
            // A release by this process may still be in flight, so the lease is
            // held only once a new version of the row is written.
            self.tenure = None;
            return Step::Write(self.write(seen, true, now));
        }
        self.tenure = None;
        let remaining = self.watch.remaining(row, now);
        if row.row.holder.is_some() && !remaining.is_zero() {
            return Step::Wait(remaining);
        }
        Step::Write(self.write(seen, true, now))
    }

    /// Records that the write of `row` by this process took effect.
    pub fn acquired_by(&mut self, row: &Row, now: time::Moment) {
        let _ = self.confirm_write(row, now);
    }
}
