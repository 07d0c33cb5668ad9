//! A circuit breaker for calls to the store. Closed, it admits all calls; half open, one at a
//! time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::{Mutex, MutexGuard};
use tokio::time::sleep;

/// Initial backoff after a failed call; doubles up to the maximum.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff of a watcher, which must detect the recovery of the store within a second.
const WATCHER_BACKOFF_MAX: Duration = Duration::from_millis(600);
/// Maximum backoff of other VMs, which learn of the recovery from peers.
const BACKOFF_MAX: Duration = Duration::from_millis(1800);

/// Limits calls to an unavailable store. Clones share one state.
///
/// Failed calls are billed too, and a VM follows several tables; if each were retried separately
/// during an outage, 295 VMs would make some 2,000 failing calls per second.
#[derive(Clone, Debug, Default)]
pub struct Breaker(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    /// Whether only one call at a time is admitted.
    is_half_open: AtomicBool,
    /// Whether the last call failed.
    has_failed: AtomicBool,
    /// Whether other VMs depend on this one for updates.
    is_watcher: AtomicBool,
    /// The current backoff, locked by the pending probe.
    backoff: Mutex<Option<Duration>>,
}

/// Permit to make one call. Holds the lock of the backoff if the call is a probe.
#[derive(Debug)]
pub struct Permit<'a> {
    breaker: &'a Breaker,
    backoff: Option<MutexGuard<'a, Option<Duration>>>,
}

impl Breaker {
    /// Sets whether other VMs depend on this one for updates.
    pub fn set_watcher(&self, is_watcher: bool) {
        self.0.is_watcher.store(is_watcher, Ordering::Relaxed);
    }

    /// Admits a single probe before other calls. A VM that starts following the store after missed
    /// heartbeats often does so during an outage: without the probe, three calls of each of 283 VMs
    /// hung at once.
    pub fn half_open(&self) {
        self.0.is_half_open.store(true, Ordering::Relaxed);
    }

    /// Whether only one call at a time is admitted.
    #[must_use]
    pub fn is_half_open(&self) -> bool {
        self.0.is_half_open.load(Ordering::Relaxed)
    }

    /// Waits until a call is admitted.
    pub async fn acquire(&self) -> Permit<'_> {
        let is_half_open = || self.is_half_open();
        if !is_half_open() {
            return Permit {
                breaker: self,
                backoff: None,
            };
        }
        let backoff = self.0.backoff.lock().await;
        // The previous probe may have succeeded.
        if is_half_open() && self.0.has_failed.load(Ordering::Relaxed) {
            let delay = backoff.unwrap_or(INITIAL_BACKOFF).min(self.max_backoff());
            sleep(delay.mul_f64(rand::random_range(0.5..1.0))).await;
        }
        Permit {
            breaker: self,
            backoff: Some(backoff),
        }
    }

    fn max_backoff(&self) -> Duration {
        if self.0.is_watcher.load(Ordering::Relaxed) {
            WATCHER_BACKOFF_MAX
        } else {
            BACKOFF_MAX
        }
    }
}

impl Permit<'_> {
    /// Returns the long-poll timeout of the call: `timeout`, or zero for a probe, because other
    /// calls wait for its result.
    #[must_use]
    pub fn long_poll_timeout(&self, timeout: Duration) -> Duration {
        if self.backoff.is_some() {
            Duration::ZERO
        } else {
            timeout
        }
    }

    /// Records whether the store answered the call.
    pub fn record(self, is_answered: bool) {
        let inner = &self.breaker.0;
        inner.is_half_open.store(!is_answered, Ordering::Relaxed);
        inner.has_failed.store(!is_answered, Ordering::Relaxed);
        if let Some(mut backoff) = self.backoff {
            let next = backoff
                .unwrap_or(INITIAL_BACKOFF)
                .saturating_mul(2)
                .min(BACKOFF_MAX);
            *backoff = (!is_answered).then_some(next);
        }
    }
}
