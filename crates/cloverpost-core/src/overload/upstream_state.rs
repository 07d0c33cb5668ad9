//! State of one upstream in a limiter.

use std::time::Duration;

/// Smoothing factor of the first-byte time.
const SMOOTHING: f64 = 1.0 / 8.0;

/// Ratio to the pool mean above which the weight of an upstream is reduced.
const SLOWNESS_THRESHOLD: f64 = 2.0;

/// Minimum weight, so that a slow upstream gets enough requests for its recovery to be detected.
const MIN_WEIGHT: f64 = 0.1;

/// Statistics and limit of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct UpstreamState {
    first_byte: Option<f64>,
    pub(super) limit: u32,
}

impl UpstreamState {
    /// Records the first-byte time of one answer.
    pub(super) fn record(&mut self, first_byte: Duration) {
        let seconds = first_byte.as_secs_f64();
        let mean = self.first_byte.unwrap_or(seconds);
        self.first_byte = Some(mean + SMOOTHING * (seconds - mean));
    }

    /// Returns the moving average of the first-byte time, in seconds.
    pub(super) const fn first_byte(&self) -> Option<f64> {
        self.first_byte
    }

    /// Returns the weight in the pool: 1, reduced for an upstream much slower than
    /// `pool_mean` seconds.
    pub(super) fn weight(&self, pool_mean: f64) -> f64 {
        let slowness = self.first_byte.map_or(1.0, |own| own / pool_mean);
        if slowness > SLOWNESS_THRESHOLD {
            (1.0 / slowness).max(MIN_WEIGHT)
        } else {
            1.0
        }
    }
}
