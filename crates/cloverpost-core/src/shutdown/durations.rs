//! Usual durations of requests.

use std::collections::HashMap;
use std::time::Duration;

use crate::id;

/// Weight of a new sample in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a new sample in the mean deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Mean deviations above the mean that few requests exceed.
const DEVIATIONS: f64 = 4.0;

/// How long requests of each route take, as TCP estimates round-trip times (RFC 6298).
#[derive(Clone, Debug, Default)]
pub struct Durations(HashMap<id::Entry, Estimate>);

#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// In seconds.
    mean: f64,
    /// Mean deviation, in seconds.
    deviation: f64,
}

impl Durations {
    /// Records that a request of `route` took `duration`.
    pub fn record(&mut self, route: &id::Entry, duration: Duration) {
        let sample = duration.as_secs_f64();
        let Some(estimate) = self.0.get_mut(route) else {
            let deviation = sample / 2.0;
            let first = Estimate {
                mean: sample,
                deviation,
            };
            self.0.insert(route.clone(), first);
            return;
        };
        let error = sample - estimate.mean;
        estimate.deviation += (error.abs() - estimate.deviation) * DEVIATION_WEIGHT;
        estimate.mean += error * MEAN_WEIGHT;
    }

    /// Time that few requests of `route` exceed; `None` if none has been recorded.
    #[must_use]
    pub fn upper_estimate(&self, route: &id::Entry) -> Option<Duration> {
        let estimate = self.0.get(route)?;
        let seconds = estimate.mean + estimate.deviation * DEVIATIONS;
        Duration::try_from_secs_f64(seconds).ok()
    }
}
