//! Counters and gauges of billing.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use cloverpost_core::billing;

/// Counts since the start and current sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Records stored before their response was completed.
    pub stored: u64,
    /// Records whose response was completed with the configured number of copies.
    pub copied: u64,
    /// Records whose response was completed with fewer copies than configured.
    pub under_replicated: u64,
    /// Records whose response was completed while they were only in the memory of this VM.
    pub unprotected: u64,
    /// Calls to the store.
    pub store_calls: u64,
    /// Calls to the store that failed or whose response was lost.
    pub store_failures: u64,
    /// Appends that conflicted with another writer.
    pub conflicts: u64,
    /// Segments written for this VM.
    pub segments: u64,
    /// Segments written for dead VMs by take-over.
    pub take_over_segments: u64,
    /// Messages sent to peers.
    pub messages: u64,
    /// Own records that are not known to be in the store.
    pub pending_records: usize,
    /// Estimated memory of the own records, in bytes.
    pub pending_bytes: usize,
    /// Copies of the records of other VMs.
    pub held_records: usize,
    /// Estimated memory of the copies, in bytes.
    pub held_bytes: usize,
}

/// The counters and gauges shared between the task and the handle.
#[derive(Debug)]
pub(super) struct SharedCounters {
    refusing: AtomicBool,
    pub stored: AtomicU64,
    pub copied: AtomicU64,
    pub under_replicated: AtomicU64,
    pub unprotected: AtomicU64,
    pub store_calls: AtomicU64,
    pub store_failures: AtomicU64,
    pub conflicts: AtomicU64,
    pub segments: AtomicU64,
    pub take_over_segments: AtomicU64,
    pub messages: AtomicU64,
    pending_records: AtomicUsize,
    pending_bytes: AtomicUsize,
    held_records: AtomicUsize,
    held_bytes: AtomicUsize,
}

impl Default for SharedCounters {
    /// Refuses until the first call to the store has been answered.
    fn default() -> Self {
        Self {
            refusing: AtomicBool::new(true),
            stored: AtomicU64::new(0),
            copied: AtomicU64::new(0),
            under_replicated: AtomicU64::new(0),
            unprotected: AtomicU64::new(0),
            store_calls: AtomicU64::new(0),
            store_failures: AtomicU64::new(0),
            conflicts: AtomicU64::new(0),
            segments: AtomicU64::new(0),
            take_over_segments: AtomicU64::new(0),
            messages: AtomicU64::new(0),
            pending_records: AtomicUsize::new(0),
            pending_bytes: AtomicUsize::new(0),
            held_records: AtomicUsize::new(0),
            held_bytes: AtomicUsize::new(0),
        }
    }
}

impl SharedCounters {
    pub fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::Relaxed)
    }

    /// Counts a released record; `target` is the configured number of copies.
    pub fn count_released(&self, durability: billing::Durability, target: usize) {
        count(match durability {
            billing::Durability::Stored => &self.stored,
            billing::Durability::Replicated(held) if held >= target => &self.copied,
            billing::Durability::Replicated(_) => &self.under_replicated,
            billing::Durability::Unprotected => &self.unprotected,
        });
    }

    /// Updates the gauges from the state of `machine`.
    pub fn update_gauges(&self, machine: &billing::Machine) {
        let refusing = machine.refusal().is_some();
        self.refusing.store(refusing, Ordering::Relaxed);
        let (pending, holder) = (machine.pending(), machine.holder());
        set(&self.pending_records, pending.len());
        set(&self.pending_bytes, pending.memory());
        set(&self.held_records, holder.records());
        set(&self.held_bytes, holder.memory());
    }

    pub fn snapshot(&self) -> Counters {
        let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let size = |size: &AtomicUsize| size.load(Ordering::Relaxed);
        Counters {
            stored: count(&self.stored),
            copied: count(&self.copied),
            under_replicated: count(&self.under_replicated),
            unprotected: count(&self.unprotected),
            store_calls: count(&self.store_calls),
            store_failures: count(&self.store_failures),
            conflicts: count(&self.conflicts),
            segments: count(&self.segments),
            take_over_segments: count(&self.take_over_segments),
            messages: count(&self.messages),
            pending_records: size(&self.pending_records),
            pending_bytes: size(&self.pending_bytes),
            held_records: size(&self.held_records),
            held_bytes: size(&self.held_bytes),
        }
    }
}

pub(super) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

fn set(gauge: &AtomicUsize, size: usize) {
    gauge.store(size, Ordering::Relaxed);
}
