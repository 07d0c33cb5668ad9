//! Counts the bills in the store.

use std::collections::BTreeMap;

use crate::billing::Segment;
use crate::id;

/// Number of bills of each request, over all segments that were added.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Audit {
    bills: BTreeMap<id::Request, usize>,
    gaps: usize,
}

impl Audit {
    /// Adds the segments of one account, in ascending order.
    pub fn add_account(&mut self, segments: &[Segment]) {
        for (index, segment) in segments.iter().enumerate() {
            if segment.number.get() != index as u64 {
                self.gaps += 1;
            }
            for record in &segment.records {
                *self.bills.entry(record.request).or_default() += 1;
            }
        }
    }

    /// Number of bills of `request`.
    #[must_use]
    pub fn bills(&self, request: &id::Request) -> usize {
        self.bills.get(request).copied().unwrap_or_default()
    }

    /// Number of billed requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bills.len()
    }

    /// Whether nothing was billed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bills.is_empty()
    }

    /// Requests that were billed more than once, with their counts.
    pub fn duplicates(&self) -> impl Iterator<Item = (&id::Request, usize)> {
        let bills = self.bills.iter().map(|(request, count)| (request, *count));
        bills.filter(|(_, count)| *count > 1)
    }

    /// Number of segments whose number differs from their position.
    #[must_use]
    pub const fn gaps(&self) -> usize {
        self.gaps
    }
}
