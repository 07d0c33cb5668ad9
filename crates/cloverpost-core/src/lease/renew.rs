//! Renews a lease.

use crate::lease::{Lease, Row, VersionedRow, Write};
use crate::time;

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Make this write. Then call [`Lease::renewed_by`] if it took effect, or read
    /// the row.
    Write(Write),
    /// Another holder has the lease, or it was released.
    Lost,
}

impl Lease {
    /// Returns the next step after a read of the row. `now` must be later than
    /// the read.
    ///
    /// An expired lease may be renewed as long as no other process has acquired
    /// it: the write is conditional on the version of the row.
    pub fn renew(&mut self, seen: Option<&VersionedRow>, now: time::Moment) -> Step {
        match seen {
            Some(row) if self.is_current_tenure(&row.row) => {
                let _ = self.confirm_write(&row.row, now);
                Step::Write(self.write(seen, true, now))
            }
            _ => {
                self.tenure = None;
                Step::Lost
            }
        }
    }

    /// Records that the write of `row` by this process took effect.
    pub fn renewed_by(&mut self, row: &Row, now: time::Moment) {
        if self.is_current_tenure(row) {
            let _ = self.confirm_write(row, now);
        }
    }
}
