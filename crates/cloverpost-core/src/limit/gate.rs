//! Concurrency limit shared by traffic threads.

use std::sync::atomic::{AtomicU32, Ordering};

/// Number of requests in flight of one organisation on this VM, with its limit.
#[derive(Debug, Default)]
pub struct Gate {
    in_flight: AtomicU32,
    limit: AtomicU32,
}

impl Gate {
    /// Sets the limit. Requests already in flight above it are not aborted.
    pub fn set_limit(&self, limit: u32) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Admits a request if the limit allows it.
    #[must_use]
    pub fn try_enter(&self) -> bool {
        let limit = self.limit.load(Ordering::Relaxed);
        let add = |count: u32| (count < limit).then_some(count + 1);
        self.in_flight
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .is_ok()
    }

    /// Releases the slot of a request; call once for each successful [`Self::try_enter`].
    pub fn leave(&self) {
        let subtract = |count: u32| count.checked_sub(1);
        let _ = self
            .in_flight
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
    }
}
