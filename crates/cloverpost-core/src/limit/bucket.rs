//! Lock-free rate limiter shared by traffic threads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::time;

/// Units per request: split rates are counted in thousandths of a request.
pub const UNITS_PER_REQUEST: u64 = 1_000;

/// Minimum burst, in requests.
///
/// With a burst of one, small variations in arrival times would reject requests of a VM
/// with little traffic far below its limit.
const MIN_BURST_REQUESTS: u64 = 2;

/// Nanoseconds per second.
const NANOS: u64 = 1_000_000_000;

/// A token bucket implemented as the generic cell rate algorithm (GCRA), with its state
/// in one atomic word that is updated by compare-and-swap.
#[derive(Debug)]
pub struct Bucket {
    /// Emission interval in nanoseconds; `u64::MAX` rejects all requests.
    interval: AtomicU64,
    burst: Duration,
    theoretical_arrival: AtomicU64,
}

impl Bucket {
    /// Creates a full bucket that rejects all requests until a rate is set.
    ///
    /// `burst` is the time whose requests may arrive at once; the minimum is two
    /// requests.
    #[must_use]
    pub const fn new(burst: Duration) -> Self {
        Self {
            interval: AtomicU64::new(u64::MAX),
            burst,
            theoretical_arrival: AtomicU64::new(0),
        }
    }

    /// Sets the rate, in thousandths of a request per second.
    pub fn set_rate(&self, rate: u64) {
        let interval = (NANOS * UNITS_PER_REQUEST)
            .checked_div(rate)
            .unwrap_or(u64::MAX);
        self.interval.store(interval, Ordering::Relaxed);
    }

    /// Takes one request from the bucket, or returns the time until it would conform; one
    /// second if the rate is zero.
    pub fn try_take(&self, now: time::Moment) -> Result<(), Duration> {
        let interval = self.interval.load(Ordering::Relaxed);
        if interval == u64::MAX {
            return Err(Duration::from_secs(1));
        }
        let now = nanos(now.since_start());
        let depth = nanos(self.burst).max(interval.saturating_mul(MIN_BURST_REQUESTS));
        let take = |theoretical_arrival: u64| {
            let next = theoretical_arrival.max(now).saturating_add(interval);
            (next <= now.saturating_add(depth)).then_some(next)
        };
        let taken =
            self.theoretical_arrival
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.map(|_| ()).map_err(|theoretical_arrival| {
            let next = theoretical_arrival.max(now).saturating_add(interval);
            Duration::from_nanos(next.saturating_sub(now.saturating_add(depth)))
        })
    }
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}
