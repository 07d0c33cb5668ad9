//! Event queue of a discrete-event simulation.

use std::cmp;
use std::collections::BinaryHeap;

use cloverpost_core::time;

/// Events in order of virtual time. Simultaneous events keep their insertion order.
pub(crate) struct EventQueue<E> {
    events: BinaryHeap<Scheduled<E>>,
    next_sequence: u64,
}

struct Scheduled<E> {
    at: time::Moment,
    sequence: u64,
    event: E,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> Self {
        Self {
            events: BinaryHeap::new(),
            next_sequence: 0,
        }
    }

    pub(crate) fn schedule(&mut self, at: time::Moment, event: E) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.events.push(Scheduled {
            at,
            sequence,
            event,
        });
    }

    pub(crate) fn pop(&mut self) -> Option<(time::Moment, E)> {
        self.events.pop().map(|next| (next.at, next.event))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
