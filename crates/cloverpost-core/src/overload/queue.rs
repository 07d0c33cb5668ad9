//! Queue of requests that exceed the concurrency limit.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::time;

/// Value and deadline of a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Value of the request class.
    pub value: u32,
    /// Latest start that can still meet the deadline of the caller.
    pub deadline: time::Moment,
}

/// Result of offering a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer<T> {
    /// The request was queued.
    Queued,
    /// The request was queued, and this one of a lower class was shed to make room.
    Displaced(T),
    /// The request was shed: the queue holds none of a lower class, or its deadline has
    /// passed.
    Refused(T),
}

#[derive(Clone, Debug)]
struct QueuedRequest<T> {
    item: T,
    since: time::Moment,
    deadline: time::Moment,
}

/// A bounded priority queue by class value.
///
/// A class is served first in, first out until its oldest request has waited longer than
/// `lifo_threshold`, then last in, first out: under sustained overload the oldest
/// requests are about to expire, and serving them first would make every answer late.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    capacity: usize,
    lifo_threshold: Duration,
    classes: BTreeMap<u32, VecDeque<QueuedRequest<T>>>,
    len: usize,
}

impl<T> Queue<T> {
    /// Creates an empty queue for `capacity` requests.
    #[must_use]
    pub const fn new(capacity: usize, lifo_threshold: Duration) -> Self {
        Self {
            capacity,
            lifo_threshold,
            classes: BTreeMap::new(),
            len: 0,
        }
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Offers a request that exceeds the concurrency limit.
    #[must_use]
    pub fn offer(&mut self, item: T, ticket: Ticket, now: time::Moment) -> Offer<T> {
        if ticket.deadline <= now {
            return Offer::Refused(item);
        }
        if self.len < self.capacity {
            self.push(item, ticket, now);
            return Offer::Queued;
        }
        match self.pop_below(ticket.value) {
            Some(shed) => {
                self.push(item, ticket, now);
                Offer::Displaced(shed)
            }
            None => Offer::Refused(item),
        }
    }

    /// Removes and returns the next request, from the most valuable class queued.
    ///
    /// Call [`Self::expire`] first: requests past their deadline are not skipped.
    pub fn take(&mut self, now: time::Moment) -> Option<T> {
        let lifo_threshold = self.lifo_threshold;
        let mut class = self.classes.last_entry()?;
        let waiting = class.get_mut();
        let is_overdue = waiting
            .front()
            .is_some_and(|oldest| now.since(oldest.since) > lifo_threshold);
        let taken = if is_overdue {
            waiting.pop_back()
        } else {
            waiting.pop_front()
        };
        if waiting.is_empty() {
            class.remove();
        }
        self.len -= usize::from(taken.is_some());
        taken.map(|waiting| waiting.item)
    }

    /// Removes and returns the requests past their deadline.
    pub fn expire(&mut self, now: time::Moment) -> Vec<T> {
        let mut expired = Vec::new();
        for waiting in self.classes.values_mut() {
            expired.extend(expire_class(waiting, now));
        }
        self.classes.retain(|_, waiting| !waiting.is_empty());
        self.len -= expired.len();
        expired
    }

    /// Keeps only the requests for which `wanted` returns true.
    pub fn retain(&mut self, wanted: impl Fn(&T) -> bool) {
        for waiting in self.classes.values_mut() {
            waiting.retain(|one| wanted(&one.item));
        }
        self.classes.retain(|_, waiting| !waiting.is_empty());
        self.len = self.classes.values().map(VecDeque::len).sum();
    }

    fn push(&mut self, item: T, ticket: Ticket, now: time::Moment) {
        let waiting = QueuedRequest {
            item,
            since: now,
            deadline: ticket.deadline,
        };
        self.classes
            .entry(ticket.value)
            .or_default()
            .push_back(waiting);
        self.len += 1;
    }

    /// Removes and returns the oldest request of the least valuable class, if its value
    /// is below `value`.
    fn pop_below(&mut self, value: u32) -> Option<T> {
        let mut class = self.classes.first_entry()?;
        if *class.key() >= value {
            return None;
        }
        let shed = class.get_mut().pop_front();
        if class.get().is_empty() {
            class.remove();
        }
        self.len -= usize::from(shed.is_some());
        shed.map(|waiting| waiting.item)
    }
}

/// Removes and returns the requests past their deadline; the others keep their order.
fn expire_class<T>(waiting: &mut VecDeque<QueuedRequest<T>>, now: time::Moment) -> Vec<T> {
    if waiting.iter().all(|one| one.deadline > now) {
        return Vec::new();
    }
    let (late, kept): (Vec<_>, Vec<_>) = waiting.drain(..).partition(|one| one.deadline <= now);
    waiting.extend(kept);
    late.into_iter().map(|one| one.item).collect()
}
