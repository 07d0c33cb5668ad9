//! Concurrency slots on upstreams.

use std::sync::Arc;
use std::sync::atomic::{Ordering, fence};
use std::time::Duration;

use cloverpost_core::overload::Sample;
use cloverpost_core::time;

use crate::overload;
use crate::snapshot;

/// A guard that counts one request in flight on an upstream. Dropping it passes the
/// slot to a queued request, if there is one.
///
/// The release is in `Drop` because the task that holds the guard may be cancelled at
/// any await when its caller disconnects, and the count must not leak.
#[derive(Debug)]
pub struct Slot {
    upstream: snapshot::Upstream,
    queue: Arc<overload::Queue>,
    acquired_at: time::Moment,
    /// Requests of this VM in flight on the upstream when the slot was acquired, including
    /// this one.
    in_flight: u32,
}

impl Slot {
    /// Acquires a slot on `upstream`, or returns `None` if none is free.
    #[must_use]
    pub fn acquire(upstream: snapshot::Upstream, queue: Arc<overload::Queue>) -> Option<Self> {
        let acquired_at = queue.clock().now();
        upstream.load.try_start().then(|| Self {
            in_flight: upstream.load.in_flight(),
            upstream,
            queue,
            acquired_at,
        })
    }

    /// The upstream that the slot belongs to.
    #[must_use]
    pub fn upstream(&self) -> &snapshot::Upstream {
        &self.upstream
    }

    /// Records the start of the response, `first_byte` after the request was sent.
    pub fn record_first_byte(&self, first_byte: Duration) {
        let in_flight = self.in_flight;
        self.observe(Sample::Answered {
            first_byte,
            in_flight,
        });
    }

    /// Records a rejection because of overload, or a timeout.
    pub fn record_overload(&self) {
        self.observe(Sample::Overloaded);
    }

    /// Records the end of a complete response.
    pub fn record_completion(&self) {
        let elapsed = self.queue.clock().now().since(self.acquired_at);
        let event = overload::Event::Completed(elapsed);
        self.queue.observe(self.upstream.load.key(), event);
    }

    fn observe(&self, sample: Sample) {
        let event = overload::Event::Sample(sample);
        self.queue.observe(self.upstream.load.key(), event);
    }

    /// Acquires another slot on the same upstream, if it accepts requests.
    fn reacquire(&self) -> Option<Self> {
        let is_available = self.upstream.accepts_requests();
        let acquire = || Self::acquire(self.upstream.clone(), Arc::clone(&self.queue));
        is_available.then(acquire).flatten()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.upstream.load.finish();
        // Pairs with the fence in `Queue::enqueue`.
        fence(Ordering::SeqCst);
        if self.queue.is_empty() {
            return;
        }
        if let Some(slot) = self.reacquire() {
            drop(self.queue.assign(slot));
        }
    }
}
