//! The slot that a request occupies on an upstream.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cloverpost_core::balance::{self, Event};
use cloverpost_core::poison::Profile;
use cloverpost_core::{directory, id, time};

use crate::gateway::Shared;
use crate::gateway::codec::Codec;
use crate::gateway::crashes;

/// Counts one request as in flight on an upstream until it is dropped.
///
/// The count is released in `Drop` since the request's future may be dropped at any
/// await when the caller disconnects; a leaked count would add load to the upstream
/// permanently.
pub struct UpstreamSlot<C: Codec> {
    shared: Arc<Shared<C>>,
    /// Upstream that holds the slot.
    pub upstream: Arc<directory::Upstream>,
    /// Whether this VM had no other request in flight there on acquisition.
    pub was_idle: bool,
    acquired: time::Moment,
    /// Number of restarts of the upstream on acquisition.
    restarts: u32,
    /// Estimated seconds of work before the response begins.
    work: f64,
    is_work_released: AtomicBool,
    /// The request that occupies the slot.
    profile: Profile,
    /// Whether the upstream's part in the request is over, or has not begun.
    has_ended: AtomicBool,
}

impl<C: Codec> UpstreamSlot<C> {
    /// Counts a request on `upstream` with an estimated `work` seconds until its
    /// response begins.
    pub fn acquire(
        shared: Arc<Shared<C>>,
        upstream: Arc<directory::Upstream>,
        profile: Profile,
        work: f64,
    ) -> Self {
        let (was_idle, restarts) = {
            let mut balancer = shared.balancer();
            let was_idle = balancer.start(&upstream.id, work);
            (was_idle, balancer.restarts(&upstream.id))
        };
        Self {
            acquired: shared.clock.now(),
            shared,
            upstream,
            was_idle,
            restarts,
            work,
            is_work_released: AtomicBool::new(false),
            profile,
            has_ended: AtomicBool::new(true),
        }
    }

    /// Subtracts the estimated work from the upstream's load, once, when the response
    /// begins or will not come.
    pub fn release_work(&self) {
        if !self.is_work_released.swap(true, Ordering::Relaxed) {
            self.with_balancer(|balancer, id| balancer.response_started(id, self.work));
        }
    }

    /// Records that the request is sent. One that is dropped before, as it waits for a connection, is no
    /// attempt that was given up.
    pub fn begin(&self) {
        self.has_ended.store(false, Ordering::Relaxed);
    }

    /// Records that the upstream answered in full, rejected the request or closed the connection. An
    /// attempt that is dropped before is given up.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }

    /// Records an event of the request for the upstream's health.
    pub fn record(&self, event: Event) {
        if matches!(
            event,
            Event::Broke | Event::Full | Event::Refused | Event::Succeeded
        ) {
            self.end();
        }
        let now = self.shared.clock.now();
        let is_excluded = self.with_balancer(|balancer, id| balancer.record(id, event, now));
        match event {
            Event::Began(_) => self
                .shared
                .admission()
                .cold
                .record_response(&self.upstream.id, now),
            Event::Refused | Event::Silent => {
                self.shared.admission().cold.suspect(&self.upstream, now);
            }
            _ => {}
        }
        if is_excluded == Some(true) {
            log::warn!(
                upstream = self.upstream.id.as_str(), service = self.upstream.service.as_str(), why:? = event;
                "upstream left out for a while"
            );
        }
    }

    /// Whether the upstream still runs the process that the slot was acquired on.
    pub fn is_current(&self) -> bool {
        self.shared.balancer().restarts(&self.upstream.id) == self.restarts
    }

    /// Updates the load and health of the upstream, unless it has restarted since the
    /// slot was acquired.
    fn with_balancer<T>(
        &self,
        update: impl FnOnce(&mut balance::Balancer, &id::Upstream) -> T,
    ) -> Option<T> {
        let id = &self.upstream.id;
        let mut balancer = self.shared.balancer();
        let is_current = balancer.restarts(id) == self.restarts;
        is_current.then(|| update(&mut balancer, id))
    }
}

impl<C: Codec> Drop for UpstreamSlot<C> {
    fn drop(&mut self) {
        self.release_work();
        self.with_balancer(balance::Balancer::request_ended);
        let held = self.shared.clock.now().since(self.acquired);
        self.shared
            .admission()
            .fragile
            .record_end(&self.upstream.service, held);
        if !self.has_ended.load(Ordering::Relaxed) {
            crashes::record_given_up(&self.shared, &self.profile, &self.upstream);
        }
    }
}
