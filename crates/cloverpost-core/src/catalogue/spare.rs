//! Settings for putting spare replicas of a pool to sleep.

use std::time::Duration;

use crate::capacity;

/// Capacity of a pool's replicas and the cost of waking them.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spare {
    /// Number of requests that one replica serves concurrently.
    pub each: u32,
    /// Minimum number of replicas awake.
    #[serde(default = "Spare::default_least")]
    pub least: u32,
    /// Time from the arrival of a replica's weights to its first answer, in
    /// milliseconds.
    pub start_ms: u64,
    /// Time that the weight store takes to send the weights of one replica, in
    /// milliseconds.
    pub transfer_ms: u64,
    /// Time awake that costs as much as waking a replica once, in milliseconds.
    pub break_even_ms: u64,
}

/// Target utilisation of a replica.
const UTILISATION: f64 = 0.8;
/// Margin above the forecast demand, in mean absolute deviations.
const DEVIATIONS: f64 = 2.0;

impl Spare {
    const fn default_least() -> u32 {
        1
    }

    /// Capacity options for a pool of `max_replicas` replicas.
    #[must_use]
    pub fn options(&self, max_replicas: u32) -> capacity::Options {
        capacity::Options {
            replica_capacity: f64::from(self.each.max(1)),
            utilisation: UTILISATION,
            min_replicas: self.least.min(max_replicas),
            max_replicas,
            start: Duration::from_millis(self.start_ms),
            transfer: Duration::from_millis(self.transfer_ms),
            break_even: Duration::from_millis(self.break_even_ms),
            deviations: DEVIATIONS,
        }
    }
}
