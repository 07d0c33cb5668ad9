//! Settings of rollouts.

use std::time::Duration;

/// Stages and error rates of rollouts.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Fractions of the requests, from 0 to 1, in the order of the stages.
    pub shares: Vec<f64>,
    /// Minimum duration of each stage.
    pub min_stage_duration: Duration,
    /// Maximum probability of halting a version as good as the replaced one.
    pub false_halt: f64,
    /// Maximum probability that a bad version reaches the last stage.
    pub miss_rate: f64,
    /// Minimum quality drop at which a version counts as bad.
    pub drop: f64,
    /// Maximum rate of false alarms per rating at full share.
    pub false_alarm: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            shares: vec![0.01, 0.05, 0.2, 0.5, 1.0],
            min_stage_duration: Duration::from_mins(2),
            false_halt: 0.01,
            miss_rate: 0.05,
            drop: 0.05,
            false_alarm: 1e-6,
        }
    }
}
