//! Writes of the lease row.

use std::collections::VecDeque;

use crate::lease::Row;
use crate::time;

/// Maximum number of sent writes that are remembered.
const MAX_SENT_WRITES: usize = 16;

/// A conditional write for the caller to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Version of the row to replace; `None` if no row may exist.
    pub expected_version: Option<u64>,
    /// The new row.
    pub row: Row,
}

/// Recently sent writes that may be confirmed, with the time each was sent.
#[derive(Clone, Debug)]
pub(super) struct SentWrites {
    last_number: u64,
    writes: VecDeque<(u64, time::Moment)>,
}

impl SentWrites {
    pub(super) const fn new() -> Self {
        Self {
            last_number: 0,
            writes: VecDeque::new(),
        }
    }

    /// Assigns a number to a write that is about to be sent.
    pub(super) fn add(&mut self, now: time::Moment) -> u64 {
        self.last_number += 1;
        if self.writes.len() == MAX_SENT_WRITES {
            self.writes.pop_front();
        }
        self.writes.push_back((self.last_number, now));
        self.last_number
    }

    /// Returns when the write `number` was sent, if it is still remembered, and
    /// drops the writes before it.
    pub(super) fn confirm(&mut self, number: u64) -> Option<time::Moment> {
        self.writes.retain(|(sent, _)| *sent >= number);
        let first = self.writes.front().filter(|(sent, _)| *sent == number);
        first.map(|(_, at)| *at)
    }

    /// Drops all writes, so that none of them can be confirmed.
    pub(super) fn clear(&mut self) {
        self.writes.clear();
    }
}
