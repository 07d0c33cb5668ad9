//! A request in flight on an upstream.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cloverpost_core::balance::Event;
use cloverpost_core::directory;

use crate::gateway::Shared;
use crate::gateway::codec::Codec;

/// Counts one request in flight on an upstream until it is dropped.
///
/// It has a `Drop` in place of a `close` since the caller may leave at any await; a
/// count that stayed would make the upstream look busy for ever.
pub struct Place<C: Codec> {
    shared: Arc<Shared<C>>,
    /// The upstream.
    pub upstream: Arc<directory::Upstream>,
    /// Whether nothing else of this VM was there when it was taken.
    pub is_first: bool,
    /// Seconds that the upstream is busy before the answer begins.
    work: f64,
    has_begun: AtomicBool,
}

impl<C: Codec> Place<C> {
    /// Counts a request on `upstream` that takes `work` seconds to begin.
    pub fn take(shared: Arc<Shared<C>>, upstream: Arc<directory::Upstream>, work: f64) -> Self {
        let is_first = shared.balance().start(&upstream.id, work);
        Self {
            shared,
            upstream,
            is_first,
            work,
            has_begun: AtomicBool::new(false),
        }
    }

    /// Notes that its answer has begun, or that none will.
    pub fn begin(&self) {
        if !self.has_begun.swap(true, Ordering::Relaxed) {
            self.shared.balance().begin(&self.upstream.id, self.work);
        }
    }

    /// Notes what the request shows of the upstream.
    pub fn note(&self, event: Event) {
        let now = self.shared.clock.now();
        let is_shunned = self.shared.balance().note(&self.upstream.id, event, now);
        if is_shunned {
            log::warn!(
                upstream = self.upstream.id.as_str(), service = self.upstream.service.as_str(), why:? = event;
                "upstream left out for a while"
            );
        }
    }
}

impl<C: Codec> Drop for Place<C> {
    fn drop(&mut self) {
        self.begin();
        self.shared.balance().finish(&self.upstream.id);
    }
}
