//! Autoscaling settings.

use std::time::Duration;

/// Capacity, limits and wake-up costs of the replicas of a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Demand served by one replica at full utilisation.
    pub replica_capacity: f64,
    /// Target utilisation, from 0 to 1.
    pub utilisation: f64,
    /// Minimum number of awake replicas.
    pub min_replicas: u32,
    /// Maximum number of awake replicas.
    pub max_replicas: u32,
    /// Time from the end of a replica's weight transfer until it serves requests.
    pub start: Duration,
    /// Time to transfer the weights of one replica from the weight store.
    pub transfer: Duration,
    /// Time awake that costs as much as one wake-up.
    pub break_even: Duration,
    /// Safety margin above the forecast, in mean absolute deviations of the demand.
    pub deviations: f64,
}

impl Options {
    /// Time until `count` replicas are awake. The weight store transfers sequentially.
    #[must_use]
    pub fn wake_time(&self, count: u32) -> Duration {
        self.start + self.transfer * count
    }

    /// Replicas needed to serve `demand`, clamped to the configured limits.
    #[must_use]
    pub fn replicas(&self, demand: f64) -> u32 {
        let wanted = (demand / (self.replica_capacity * self.utilisation)).ceil();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // saturates
        let wanted = wanted as u32;
        wanted.clamp(self.min_replicas, self.max_replicas)
    }
}
