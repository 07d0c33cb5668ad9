//! Limits and timeouts of billing.

use std::time::Duration;

/// Limits and timeouts of billing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Maximum size of the records in a segment, in bytes. The store limits an item
    /// to 400 KB, which must also hold the key and the client's encoding.
    pub segment_bytes: usize,
    /// Age of the oldest pending record at which a segment is written.
    pub segment_age: Duration,
    /// Memory limit for records that are not in the store, in bytes. When it is
    /// reached, new billable requests are refused.
    pub pending_bytes: usize,
    /// Limit on the number of records that are not in the store.
    pub pending_records: usize,
    /// Memory limit for copies of other VMs' records, in bytes.
    pub held_bytes: usize,
    /// Number of peers that should hold a record.
    pub copies: usize,
    /// Time after which an unacknowledged copy is sent again.
    pub ack_timeout: Duration,
    /// Consecutive timeouts after which another peer is selected.
    pub max_misses: u32,
    /// How long a peer that timed out or refused is excluded from selection.
    pub exclusion_time: Duration,
    /// Time after which one copy suffices to release the end of an answer.
    pub single_copy_timeout: Duration,
    /// Time after which the end of an answer is released without a copy.
    pub no_copy_timeout: Duration,
    /// Delay after the first failed call to the store; doubles with each failure.
    pub backoff: Duration,
    /// Maximum delay after a failed call to the store.
    pub backoff_max: Duration,
    /// Timeout of a call to the store. It must exceed the latency of a slow store;
    /// callers do not wait for it.
    pub store_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            segment_bytes: 256 * 1024,
            segment_age: Duration::from_secs(1),
            pending_bytes: 64 * 1024 * 1024,
            pending_records: 200_000,
            held_bytes: 160 * 1024 * 1024,
            copies: 2,
            ack_timeout: Duration::from_millis(100),
            max_misses: 2,
            exclusion_time: Duration::from_secs(10),
            single_copy_timeout: Duration::from_millis(500),
            no_copy_timeout: Duration::from_secs(5),
            backoff: Duration::from_millis(100),
            backoff_max: Duration::from_secs(2),
            store_timeout: Duration::from_secs(15),
        }
    }
}
