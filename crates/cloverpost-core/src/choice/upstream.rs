//! Load counters of one upstream.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use sha2::Digest;

use crate::choice::Report;
use crate::time;

/// Bits of a packed report used for the load.
const LOAD_BITS: u32 = 20;

/// Maximum load in a packed report.
const LOAD_MAX: u32 = (1 << LOAD_BITS) - 1;

/// Load counters of one upstream, shared by all traffic threads.
#[derive(Debug)]
pub struct Upstream {
    key: u64,
    in_flight: AtomicU32,
    limit: AtomicU32,
    /// Load and time packed into one word for atomic updates; 0 if no report was received.
    report: AtomicU64,
}

impl Upstream {
    /// Creates an idle upstream called `name`, with at most `limit` requests of this VM.
    #[must_use]
    pub fn new(name: &str, limit: u32) -> Self {
        Self {
            key: stable_hash(name.as_bytes()),
            in_flight: AtomicU32::new(0),
            limit: AtomicU32::new(limit),
            report: AtomicU64::new(0),
        }
    }

    /// Hash of the name, equal on every VM.
    #[must_use]
    pub const fn key(&self) -> u64 {
        self.key
    }

    /// Requests of this VM in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Maximum number of requests of this VM in flight.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.load(Ordering::Relaxed)
    }

    /// Changes the limit. Requests already in flight are not affected.
    pub fn set_limit(&self, limit: u32) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Whether one more request fits under the limit.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.in_flight() < self.limit()
    }

    /// Increments the requests in flight; returns `false` if the limit is reached.
    #[must_use]
    pub fn try_start(&self) -> bool {
        let limit = self.limit();
        let add = |count: u32| (count < limit).then_some(count + 1);
        self.in_flight
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .is_ok()
    }

    /// Decrements the requests in flight; call once per successful [`Self::try_start`].
    pub fn finish(&self) {
        let subtract = |count: u32| count.checked_sub(1);
        let _ = self
            .in_flight
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
    }

    /// Stores a report unless a later one is known.
    pub fn record_report(&self, report: Report) {
        self.report.fetch_max(pack(report), Ordering::Relaxed);
    }

    /// The latest report.
    #[must_use]
    pub fn report(&self) -> Option<Report> {
        unpack(self.report.load(Ordering::Relaxed))
    }
}

impl AsRef<Self> for Upstream {
    fn as_ref(&self) -> &Self {
        self
    }
}

/// Packs the time into the upper bits, so that a later report is a larger word.
fn pack(report: Report) -> u64 {
    let millis = u64::try_from(report.taken().since_start().as_millis()).unwrap_or(u64::MAX);
    let latest = u64::MAX >> LOAD_BITS;
    let stamp = millis.saturating_add(1).min(latest);
    (stamp << LOAD_BITS) | u64::from(report.peer_load().min(LOAD_MAX))
}

fn unpack(word: u64) -> Option<Report> {
    let millis = (word >> LOAD_BITS).checked_sub(1)?;
    let load = u32::try_from(word & u64::from(LOAD_MAX)).unwrap_or(LOAD_MAX);
    Some(Report::new(load, 0, time::Moment::from_millis(millis)))
}

/// The first 64 bits of the SHA-256 of `bytes`, which is stable across builds.
pub(super) fn stable_hash(bytes: &[u8]) -> u64 {
    let hash = sha2::Sha256::digest(bytes);
    hash.iter()
        .take(size_of::<u64>())
        .fold(0, |word, byte| (word << u8::BITS) | u64::from(*byte))
}
