//! Inputs of the escalation decision.

use std::time::Duration;

/// Inputs of the escalation decision for a request answered by a small model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Inputs {
    /// Confidence of the model in its answer, 0 to 100.
    pub confidence: u8,
    /// Priority rank of the route; 0 is the highest.
    pub rank: u8,
    /// Mean size of the route's requests, in tokens.
    pub usual_size: f64,
    /// Relative worth of the request by its size; 1 for the route's mean size.
    pub relative_size: f64,
    /// Price of the larger model's answer, in the unit of the catalogue.
    pub price: f64,
    /// Estimated time from the first to the last event of the larger model's answer.
    pub response_duration: Duration,
    /// Queueing delay of the request so far.
    pub queueing_delay: Duration,
    /// Target time to the first byte of the answer.
    pub target: Duration,
}
