//! The requests that wait for the first configuration.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::startup::waiter::Waiter;
use crate::startup::{Admission, Capacity, Outcome, Reason, Request, Summary, Ticket};
use crate::time;

/// Maximum number of batches in which requests are released.
const BATCHES: usize = 10;
/// Interval between batches: the last of them is released after 225 ms.
const BATCH_INTERVAL: Duration = Duration::from_millis(25);
/// Smallest number of requests in a batch. Fewer are no burst to the upstreams.
const MIN_BATCH: usize = 8;

/// The requests that wait for the first configuration.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    capacity: Capacity,
    next: Ticket,
    waiting: BTreeMap<Ticket, Waiter>,
    /// Estimated memory of the waiting requests.
    bytes: u64,
    /// Whether the configuration has arrived.
    is_open: bool,
    summary: Summary,
    is_summarised: bool,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(capacity: Capacity) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// The limit on waiting requests.
    #[must_use]
    pub const fn capacity(&self) -> Capacity {
        self.capacity
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Estimated memory of the waiting requests, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Counts of all requests so far.
    #[must_use]
    pub const fn summary(&self) -> Summary {
        self.summary
    }

    /// Decides what happens to a request that arrives at `now`. The caller of this method ends the wait
    /// of each displaced request.
    pub fn admit(&mut self, request: &Request, now: time::Moment) -> Admission {
        let Some(until) = request.wait_until(now) else {
            return self.refuse(Reason::NoTime);
        };
        let Some(displaced) = self.displaced_by(request, now) else {
            return self.refuse(Reason::Full);
        };
        for ticket in &displaced {
            self.end(*ticket, Outcome::Refused(Reason::Full), now);
        }
        let ticket = self.next;
        self.next = ticket.next();
        let waiter = Waiter {
            since: now,
            deadline: request.deadline(now),
            is_repeatable: request.is_repeatable,
            bytes: request.bytes(),
            release: None,
        };
        self.bytes += waiter.bytes;
        self.waiting.insert(ticket, waiter);
        self.summary.waited += 1;
        Admission::Wait {
            ticket,
            until,
            displaced,
        }
    }

    fn refuse(&mut self, reason: Reason) -> Admission {
        self.summary.record(Outcome::Refused(reason));
        Admission::Refuse(reason)
    }

    /// The requests that must be refused for `request` to wait; `None` if it may not wait.
    ///
    /// Those with the most time left that may be repeated go first. They have the best chance at
    /// another VM. A request that may be repeated itself displaces only those with more time.
    fn displaced_by(&self, request: &Request, now: time::Moment) -> Option<Vec<Ticket>> {
        let mut requests = self.waiting.len() + 1;
        let mut bytes = self.bytes + request.bytes();
        let mut displaced = Vec::new();
        if self.capacity.admits(requests, bytes) {
            return Some(displaced);
        }
        let deadline = request.deadline(now);
        let is_candidate = |waiter: &Waiter| {
            let has_more_time = !request.is_repeatable || waiter.deadline > deadline;
            waiter.is_repeatable && waiter.release.is_none() && has_more_time
        };
        let candidates = self.waiting.iter();
        let mut candidates: Vec<_> = candidates.filter(|(_, one)| is_candidate(one)).collect();
        candidates.sort_by_key(|(ticket, one)| Reverse((one.deadline, **ticket)));
        for (ticket, waiter) in candidates {
            requests -= 1;
            bytes -= waiter.bytes;
            displaced.push(*ticket);
            if self.capacity.admits(requests, bytes) {
                return Some(displaced);
            }
        }
        None
    }

    /// Records that the configuration has arrived, and assigns each waiting request the time of its
    /// release: those with the least time left go first.
    pub fn open(&mut self, now: time::Moment) {
        if std::mem::replace(&mut self.is_open, true) {
            return;
        }
        let mut waiters: Vec<_> = self.waiting.values_mut().collect();
        waiters.sort_by_key(|waiter| waiter.deadline);
        let batch = waiters.len().div_ceil(BATCHES).max(MIN_BATCH);
        let mut release = now;
        for batch in waiters.chunks_mut(batch) {
            for waiter in batch {
                waiter.release = Some(release);
            }
            release = release + BATCH_INTERVAL;
        }
    }

    /// When the request `ticket` is released, once the configuration has arrived; `None` if it may go
    /// at once.
    #[must_use]
    pub fn release_time(&self, ticket: Ticket) -> Option<time::Moment> {
        self.waiting.get(&ticket)?.release
    }

    /// Ends the wait of the request `ticket`, unless it has ended before, and returns whether it waited
    /// until now.
    pub fn end(&mut self, ticket: Ticket, outcome: Outcome, now: time::Moment) -> bool {
        let Some(waiter) = self.waiting.remove(&ticket) else {
            return false;
        };
        self.bytes -= waiter.bytes;
        self.summary.record(outcome);
        let wait = now.since(waiter.since);
        self.summary.longest = self.summary.longest.max(wait);
        true
    }

    /// Takes the counts, once, after the configuration has arrived and the last request that waited
    /// for it has gone; `None` before that, and if none waited.
    pub fn take_summary(&mut self) -> Option<Summary> {
        let is_over = self.is_open && self.is_empty() && !self.is_summarised;
        self.is_summarised |= is_over;
        (is_over && self.summary.waited > 0).then_some(self.summary)
    }
}
