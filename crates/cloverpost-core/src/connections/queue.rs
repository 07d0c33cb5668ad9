//! Requests that wait for a connection to one upstream.

use std::collections::BTreeMap;

use crate::connections::Ticket;

/// Requests that wait for a connection, the most urgent first.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    waiting: BTreeMap<Ticket, T>,
    arrivals: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            arrivals: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Adds a request with `priority`; 0 is the highest.
    pub fn push(&mut self, priority: u8, request: T) -> Ticket {
        let ticket = Ticket {
            priority,
            arrival: self.arrivals,
        };
        self.arrivals += 1;
        self.waiting.insert(ticket, request);
        ticket
    }

    /// Takes the most urgent request, the first of several.
    pub fn pop(&mut self) -> Option<T> {
        self.waiting.pop_first().map(|(_, request)| request)
    }

    /// Takes the request with `ticket`; `None` if it has left the queue.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        self.waiting.remove(&ticket)
    }

    /// Number of requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
