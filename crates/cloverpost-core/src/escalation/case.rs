//! What is known of a request when its small model has answered.

use std::time::Duration;

/// What is known of a request when its small model has answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Case {
    /// The model's opinion of its answer, 0 to 100.
    pub confidence: u8,
    /// Rank of the route; 0 is first.
    pub rank: u8,
    /// Usual size of requests of its route.
    pub usual_size: f64,
    /// Its size against the usual one of its route.
    pub relative_size: f64,
    /// What the larger model's answer costs, in the catalogue's unit.
    pub price: f64,
    /// Time that the larger model's answer would take from its first event to its last.
    pub lasts: Duration,
    /// Time that it waited for others' requests so far.
    pub delay: Duration,
    /// Time within which its answer should begin.
    pub target: Duration,
}
