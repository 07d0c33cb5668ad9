//! Observes when a lease held by another process expires.

use std::time::Duration;

use crate::lease::VersionedRow;
use crate::time;

/// The last row read, and since when it has not changed.
#[derive(Clone, Debug)]
pub(super) struct Watch {
    seen: Option<(VersionedRow, time::Moment)>,
}

impl Watch {
    pub(super) const fn new() -> Self {
        Self { seen: None }
    }

    /// Time for which the row must stay unchanged before the lease has expired.
    /// `now` must be later than the read. The holder measures from before it sent
    /// the write, hence from before any read of it.
    pub(super) fn remaining(&mut self, row: &VersionedRow, now: time::Moment) -> Duration {
        match &self.seen {
            Some((seen, since)) if seen == row => {
                row.row.duration.saturating_sub(now.since(*since))
            }
            _ => {
                self.seen = Some((row.clone(), now));
                row.row.duration
            }
        }
    }
}
