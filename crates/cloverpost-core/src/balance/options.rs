//! Weights of the choice.

use std::time::Duration;

/// Weights are in shares of an upstream's places: 1 is a whole upstream's worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Weight against an upstream of another availability zone. A prompt of 12 kB
    /// costs a thirtieth of its worth there, less than a second of waiting.
    pub far: f64,
    /// Weight against each rank down from the upstream that holds the prompt.
    pub rank: f64,
    /// Ranks that are told apart.
    pub ranks: u32,
    /// Weight against a share of failed answers above the usual.
    pub failing: f64,
    /// Weight against each multiple of the usual latency.
    pub slow: f64,
    /// Failures in a row after which an upstream is left out.
    pub failures: u32,
    /// Time for which it is left out at first; doubled each time.
    pub shun: Duration,
    /// Longest time for which it is left out.
    pub shun_max: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            far: 0.4,
            rank: 0.04,
            ranks: 3,
            failing: 2.0,
            slow: 0.15,
            failures: 2,
            shun: Duration::from_millis(400),
            shun_max: Duration::from_secs(3),
        }
    }
}
