//! Records that are not known to be in the store.

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::billing::{Record, Sequence};
use crate::id;
use crate::time;

/// Estimated memory per record for map nodes and allocations, in bytes.
const RECORD_OVERHEAD: usize = 256;

/// A pending record.
#[derive(Clone, Debug)]
struct Item {
    record: Record,
    size: usize,
    inserted_at: time::Moment,
}

/// Records that are not known to be in the store, ordered by sequence number.
#[derive(Clone, Debug, Default)]
pub struct Pending {
    items: BTreeMap<Sequence, Item>,
    sequences: HashMap<id::Request, Sequence>,
    encoded_bytes: usize,
}

impl Pending {
    /// Adds `record` at `sequence`. If a record of the same request exists, nothing
    /// is added. Returns the sequence number of the request's record.
    pub fn insert(&mut self, sequence: Sequence, record: Record, now: time::Moment) -> Sequence {
        if let Some(existing) = self.sequences.get(&record.request) {
            return *existing;
        }
        let size = record.size();
        self.encoded_bytes += size;
        self.sequences.insert(record.request, sequence);
        let item = Item {
            record,
            size,
            inserted_at: now,
        };
        self.items.insert(sequence, item);
        sequence
    }

    /// Removes the records of `requests`.
    pub fn remove<'a>(&mut self, requests: impl IntoIterator<Item = &'a id::Request>) {
        for request in requests {
            if let Some(sequence) = self.sequences.get(request).copied() {
                self.take(sequence);
            }
        }
    }

    /// Removes the records before `sequence`.
    pub fn remove_before(&mut self, sequence: Sequence) {
        while let Some(first) = self.first().filter(|first| *first < sequence) {
            self.take(first);
        }
    }

    /// Sequence number of the oldest record.
    #[must_use]
    pub fn first(&self) -> Option<Sequence> {
        self.items.keys().next().copied()
    }

    /// When the oldest record was added.
    #[must_use]
    pub fn oldest(&self) -> Option<time::Moment> {
        self.items.values().next().map(|item| item.inserted_at)
    }

    /// Whether no record after the oldest and before `next` was removed.
    #[must_use]
    pub fn is_contiguous(&self, next: Sequence) -> bool {
        let first = self.first().unwrap_or(next);
        first.get() + self.len() as u64 == next.get()
    }

    /// Sequence number of the record of `request`.
    #[must_use]
    pub fn sequence_of(&self, request: &id::Request) -> Option<Sequence> {
        self.sequences.get(request).copied()
    }

    /// Whether there is a record at `sequence`.
    #[must_use]
    pub fn contains(&self, sequence: Sequence) -> bool {
        self.items.contains_key(&sequence)
    }

    /// Whether there is a record after `sequence`.
    #[must_use]
    pub fn has_after(&self, sequence: Sequence) -> bool {
        self.items.keys().next_back() > Some(&sequence)
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Total encoded size, in bytes.
    #[must_use]
    pub const fn encoded_bytes(&self) -> usize {
        self.encoded_bytes
    }

    /// Estimated memory of all records, in bytes.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.encoded_bytes + self.len() * RECORD_OVERHEAD
    }

    /// The oldest records whose total size is at most `bytes`, but at least one.
    #[must_use]
    pub fn batch(&self, bytes: usize) -> Vec<Record> {
        let batch = Self::fitting(self.items.iter(), bytes);
        batch.map(|(_, item)| item.record.clone()).collect()
    }

    /// As [`Pending::batch`], starting at `from` and with sequence numbers.
    #[must_use]
    pub fn copy(&self, from: Sequence, bytes: usize) -> Vec<(Sequence, Record)> {
        let batch = Self::fitting(self.items.range(from..), bytes);
        batch
            .map(|(sequence, item)| (*sequence, item.record.clone()))
            .collect()
    }

    fn fitting<'a>(
        items: impl Iterator<Item = (&'a Sequence, &'a Item)>,
        bytes: usize,
    ) -> impl Iterator<Item = (&'a Sequence, &'a Item)> {
        let mut used = 0;
        items.take_while(move |(_, item)| {
            let first = used == 0;
            used += item.size;
            first || used <= bytes
        })
    }

    fn take(&mut self, sequence: Sequence) {
        if let Some(item) = self.items.remove(&sequence) {
            self.encoded_bytes -= item.size;
            self.sequences.remove(&item.record.request);
        }
    }
}

impl Pending {
    /// The requests of `records`.
    #[must_use]
    pub fn requests(records: &[Record]) -> HashSet<id::Request> {
        records.iter().map(|record| record.request).collect()
    }
}
