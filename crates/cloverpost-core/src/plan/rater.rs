//! Health of the rating service.

use std::time::Duration;

use crate::overload;

/// Smoothing factor of the response rate.
const SMOOTHING: f64 = 0.1;

/// Minimum response rate at which cascades are selected.
const MIN_RESPONSE_RATE: f64 = 0.7;

/// Health of the rating service as observed by this VM.
///
/// Sampled ratings continue during an outage and detect its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rater {
    response_rate: f64,
    estimator: overload::Estimator,
}

impl Default for Rater {
    fn default() -> Self {
        Self {
            response_rate: 1.0,
            estimator: overload::Estimator::default(),
        }
    }
}

impl Rater {
    /// Records a verdict that arrived after `took`.
    pub fn record_response(&mut self, took: Duration) {
        self.response_rate += SMOOTHING * (1.0 - self.response_rate);
        self.estimator.record(took);
    }

    /// Records a verdict that did not arrive in time.
    pub fn record_timeout(&mut self) {
        self.response_rate -= SMOOTHING * self.response_rate;
    }

    /// Returns whether answers may wait for a verdict.
    #[must_use]
    pub fn is_responsive(&self) -> bool {
        self.response_rate >= MIN_RESPONSE_RATE
    }

    /// Returns the moving average of the fraction of verdicts that arrive in time.
    #[must_use]
    pub const fn response_rate(&self) -> f64 {
        self.response_rate
    }

    /// Returns an upper estimate of the time to a verdict.
    #[must_use]
    pub fn time(&self) -> Duration {
        self.estimator.upper_bound()
    }
}
