//! Settings of the upstream choice.

use std::time::Duration;

/// Scoring weights and outlier ejection settings. Penalties are in seconds of waiting time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Fraction of the shared prefix assumed to be cached on its preferred upstreams, from
    /// 0 to 1.
    pub home: f64,
    /// Weight of the load reported by other VMs, from 0 to 1.
    pub others: f64,
    /// Penalty for an upstream in another availability zone. The transfer of a 12 kB prompt costs a
    /// thirtieth of what its answer is worth, and a second of delay costs a third.
    pub far: f64,
    /// Penalty for an upstream with all slots in use, scaled by its utilisation.
    pub running: f64,
    /// Utilisation above which [`Self::full`] applies.
    pub full_threshold: f64,
    /// Additional penalty per unit of utilisation above the threshold.
    pub full: f64,
    /// Penalty for a failure rate above the pool's median, per unit.
    pub failing: f64,
    /// Penalty for each multiple of the pool's median latency above 1.
    pub slow: f64,
    /// Upper bound of a random penalty drawn per request, so that VMs do not all choose
    /// the same one of several equal upstreams.
    pub spread: f64,
    /// Number of broken connections without a response in between after which an upstream is
    /// ejected. A refused connection or a silent upstream ejects at once.
    pub consecutive_failures: u32,
    /// Duration of the first ejection; doubled for each further one.
    pub ejection_time: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection_time: Duration,
    /// Whether upstreams are compared by their learnt speeds rather than by their latencies.
    pub learn_speed: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            home: 1.0,
            others: 1.0,
            far: 0.2,
            running: 0.3,
            full_threshold: 0.7,
            full: 2.0,
            failing: 2.0,
            slow: 0.05,
            spread: 0.005,
            consecutive_failures: 2,
            ejection_time: Duration::from_millis(400),
            max_ejection_time: Duration::from_secs(3),
            learn_speed: false,
        }
    }
}
