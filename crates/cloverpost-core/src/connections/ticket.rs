//! Place in a queue.

/// Place of a request in a queue, by priority, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// Priority; 0 is the highest.
    pub(super) priority: u8,
    /// Number of requests that arrived before.
    pub(super) arrival: u64,
}
