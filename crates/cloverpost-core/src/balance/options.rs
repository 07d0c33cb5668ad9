//! Weights of the choice.

use std::time::Duration;

/// Weights are in seconds that a request would rather wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Part of the shared prompt that counts as remembered by the upstreams that are likely
    /// to remember it, from 0 to 1.
    pub home: f64,
    /// Weight of what other VMs say that they cause, from 0 to 1.
    pub others: f64,
    /// Against an upstream of another availability zone: a prompt of 12 kB costs a
    /// thirtieth of its worth there, and a second late costs a third.
    pub far: f64,
    /// Against an upstream all of whose places are taken.
    pub running: f64,
    /// Share of the places from which on an upstream counts as filling up.
    pub roomy: f64,
    /// Against each upstream's worth of requests above that.
    pub full: f64,
    /// Against a share of failed answers above the usual.
    pub failing: f64,
    /// Against each multiple of the usual latency.
    pub slow: f64,
    /// Drawn anew for each request, so that VMs that know nothing of each other do
    /// not all take the first of several like ones.
    pub spread: f64,
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
            home: 1.0,
            others: 1.0,
            far: 0.2,
            running: 0.3,
            roomy: 0.7,
            full: 2.0,
            failing: 2.0,
            slow: 0.05,
            spread: 0.005,
            failures: 2,
            shun: Duration::from_millis(400),
            shun_max: Duration::from_secs(3),
        }
    }
}
