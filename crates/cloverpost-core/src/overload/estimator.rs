//! Estimate of the duration of answers.

use std::time::Duration;

use crate::time;

/// Smoothing factor of the mean and the deviation.
const SMOOTHING: f64 = 1.0 / 16.0;

/// Number of deviations above the mean in the upper estimate.
const DEVIATION_FACTOR: f64 = 2.0;

/// Moving averages of the time from start to last byte and of its absolute deviation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimator {
    mean: f64,
    deviation: f64,
    has_samples: bool,
}

impl Estimator {
    /// Records the duration of one answer, from its start.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        if !self.has_samples {
            self.mean = took;
            self.deviation = took / 2.0;
            self.has_samples = true;
            return;
        }
        self.deviation += SMOOTHING * ((took - self.mean).abs() - self.deviation);
        self.mean += SMOOTHING * (took - self.mean);
    }

    /// Returns an upper estimate of the duration of an answer; zero without samples.
    #[must_use]
    pub fn upper_bound(&self) -> Duration {
        Duration::from_secs_f64(self.mean + DEVIATION_FACTOR * self.deviation)
    }

    /// Returns the latest start that is expected to finish by `deadline`.
    ///
    /// A later start would occupy an upstream with an answer that arrives too late for
    /// its caller.
    #[must_use]
    pub fn latest_start(&self, deadline: time::Moment) -> time::Moment {
        let latest = deadline.since_start().saturating_sub(self.upper_bound());
        time::Moment::new(latest)
    }
}
