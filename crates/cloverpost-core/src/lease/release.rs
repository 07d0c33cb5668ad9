//! Releases a lease.

use crate::lease::{Lease, VersionedRow, Write};
use crate::time;

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Make this write. If it did not take effect, read the row again.
    Write(Write),
    /// The row no longer names this process.
    Released,
}

impl Lease {
    /// Returns the next step after a read of the row. The tenure ends with the
    /// first call, whether or not the write takes effect.
    pub fn release(&mut self, seen: Option<&VersionedRow>, now: time::Moment) -> Step {
        let holder = seen.and_then(|seen| seen.row.holder.as_ref());
        if holder != Some(&self.holder) {
            self.end_tenure();
            return Step::Released;
        }
        let write = self.write(seen, false, now);
        self.end_tenure();
        Step::Write(write)
    }
}
