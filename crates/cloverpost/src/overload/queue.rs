//! Queue of the requests that wait for capacity in one pool.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering, fence};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cloverpost_core::overload::{self as core_overload, Offer, Ticket};
use cloverpost_core::{id, time};
use tokio::sync::{mpsc, oneshot};

use crate::clock;
use crate::overload::{Event, Observation, Waiter};
use crate::snapshot;
use crate::upstream::Slot;

/// Maximum length of the queue.
const CAPACITY: usize = 256;
/// Age of the oldest request of a class above which the class is served newest first.
const LIFO_THRESHOLD: Duration = Duration::from_secs(1);

/// Queue of the requests that wait for capacity in one pool.
#[derive(Debug)]
pub struct Queue {
    pool: id::Pool,
    clock: clock::Clock,
    /// Length of the queue, readable without locking it.
    len: AtomicUsize,
    waiters: Mutex<core_overload::Queue<oneshot::Sender<Slot>>>,
    /// Upper bound of the expected response time, in nanoseconds.
    response_bound: AtomicU64,
    observations: mpsc::Sender<Observation>,
}

impl Queue {
    pub(super) fn new(
        pool: id::Pool,
        clock: clock::Clock,
        observations: mpsc::Sender<Observation>,
    ) -> Self {
        Self {
            pool,
            clock,
            len: AtomicUsize::new(0),
            waiters: Mutex::new(core_overload::Queue::new(CAPACITY, LIFO_THRESHOLD)),
            response_bound: AtomicU64::new(0),
            observations,
        }
    }

    /// The pool whose requests it queues.
    #[must_use]
    pub const fn pool(&self) -> &id::Pool {
        &self.pool
    }

    /// Clock of the queue's deadlines.
    #[must_use]
    pub const fn clock(&self) -> clock::Clock {
        self.clock
    }

    /// Whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len.load(Ordering::SeqCst) == 0
    }

    /// Sets the upper bound of the expected response time.
    pub fn set_response_bound(&self, response_bound: Duration) {
        let nanos = u64::try_from(response_bound.as_nanos()).unwrap_or(u64::MAX);
        self.response_bound.store(nanos, Ordering::Relaxed);
    }

    /// Latest time at which a request can start and still complete by `deadline`.
    #[must_use]
    pub fn latest_start(&self, deadline: time::Moment) -> time::Moment {
        let response_bound = Duration::from_nanos(self.response_bound.load(Ordering::Relaxed));
        time::Moment::new(deadline.since_start().saturating_sub(response_bound))
    }

    /// Enqueues a request; `None` if it is shed immediately.
    ///
    /// A request that it displaces is shed: [`Waiter::slot`] returns `None` there.
    #[must_use]
    pub fn enqueue(self: &Arc<Self>, ticket: Ticket) -> Option<Waiter> {
        let now = self.clock.now();
        let (sender, receiver) = oneshot::channel();
        let mut queue = self.lock();
        drop(queue.expire(now));
        let offer = queue.offer(sender, ticket, now);
        self.update_len(&queue);
        drop(queue);
        // Pairs with the fence in `Slot::drop`: either the drop sees this waiter,
        // or the waiter's next attempt sees the free slot.
        fence(Ordering::SeqCst);
        match offer {
            Offer::Queued | Offer::Displaced(_) => Some(Waiter::new(Arc::clone(self), receiver)),
            Offer::Refused(_) => None,
        }
    }

    /// Assigns `slot` to the waiting request of the highest value; returns it if the
    /// queue is empty.
    pub fn assign(&self, mut slot: Slot) -> Option<Slot> {
        loop {
            let Some(next) = self.pop() else {
                return Some(slot);
            };
            // The receiver is closed if the request was cancelled; try the next one.
            match next.send(slot) {
                Ok(()) => return None,
                Err(returned) => slot = returned,
            }
        }
    }

    /// Assigns the free slots of `upstreams` to waiting requests.
    pub fn refill(self: &Arc<Self>, upstreams: &[snapshot::Upstream]) {
        for upstream in upstreams
            .iter()
            .filter(|upstream| upstream.accepts_requests())
        {
            while !self.is_empty() {
                let Some(slot) = Slot::acquire(upstream.clone(), Arc::clone(self)) else {
                    break;
                };
                // Dropping an unclaimed slot frees it.
                drop(self.assign(slot));
            }
        }
    }

    /// Removes cancelled requests from the queue.
    pub(super) fn remove_cancelled(&self) {
        let mut queue = self.lock();
        queue.retain(|sender| !sender.is_closed());
        self.update_len(&queue);
    }

    /// Sends an observation to the control thread; dropped if the channel is full.
    pub fn observe(self: &Arc<Self>, key: u64, event: Event) {
        let queue = Arc::clone(self);
        // A lost observation only delays the convergence of the concurrency limit.
        let _ = self
            .observations
            .try_send(Observation { queue, key, event });
    }

    fn pop(&self) -> Option<oneshot::Sender<Slot>> {
        let now = self.clock.now();
        let mut queue = self.lock();
        drop(queue.expire(now));
        let next = queue.take(now);
        self.update_len(&queue);
        next
    }

    fn update_len(&self, queue: &core_overload::Queue<oneshot::Sender<Slot>>) {
        self.len.store(queue.len(), Ordering::SeqCst);
    }

    fn lock(&self) -> MutexGuard<'_, core_overload::Queue<oneshot::Sender<Slot>>> {
        // Every operation leaves the queue consistent, so a poisoned lock is usable.
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
