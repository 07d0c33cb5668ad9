//! Engine options.

use std::time::Duration;

use cloverpost_core::catalogue;

use crate::engine::Target;

/// Options of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Versions that are loaded initially.
    pub loaded: Vec<Target>,
    /// Versions that are asleep initially.
    pub sleeping: Vec<Target>,
    /// Number of tokens per answer.
    pub tokens: usize,
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Maximum number of concurrent requests.
    pub concurrency: usize,
    /// Maximum number of queued requests.
    pub queue_capacity: usize,
    /// Interval at which the load report is refreshed. If zero, each report is current.
    pub report_lag: Duration,
    /// Whether orders with an outdated fencing number are rejected.
    pub fencing: catalogue::Fencing,
    /// Time to load a version.
    pub load_time: Duration,
    /// Seed of the selection of bad answers.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            loaded: Vec::new(),
            sleeping: Vec::new(),
            tokens: 8,
            first_token: Duration::from_millis(2),
            token_interval: Duration::from_millis(1),
            concurrency: 16,
            queue_capacity: 64,
            report_lag: Duration::from_millis(100),
            fencing: catalogue::Fencing::Checked,
            load_time: Duration::from_millis(20),
            seed: 7,
        }
    }
}
