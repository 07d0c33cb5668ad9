//! Demand forecast by double exponential smoothing.

use std::time::Duration;

use crate::time;

/// Smoothing time constant of the level.
const LEVEL_TIME_CONSTANT: Duration = Duration::from_secs(30);

/// Smoothing time constant of the trend and the deviation.
const TREND_TIME_CONSTANT: Duration = Duration::from_mins(3);

/// Smoothed level, trend and mean absolute deviation of the demand.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    level: f64,
    /// Change of the demand per second.
    trend: f64,
    deviation: f64,
    last: Option<time::Moment>,
}

impl Forecast {
    /// Records the demand at `now`. The sampling interval may vary.
    pub fn record(&mut self, demand: f64, now: time::Moment) {
        let Some(last) = self.last else {
            self.level = demand;
            self.last = Some(now);
            return;
        };
        let elapsed = now.since(last).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        let gain = |time_constant: Duration| 1.0 - (-elapsed / time_constant.as_secs_f64()).exp();
        let expected = self.level + self.trend * elapsed;
        let error = demand - expected;
        let level = expected + gain(LEVEL_TIME_CONSTANT) * error;
        let slope = (level - self.level) / elapsed;
        self.trend += gain(TREND_TIME_CONSTANT) * (slope - self.trend);
        self.deviation += gain(TREND_TIME_CONSTANT) * (error.abs() - self.deviation);
        self.level = level;
        self.last = Some(now);
    }

    /// Predicted demand after `ahead`, plus `deviations` mean absolute deviations.
    #[must_use]
    pub fn predict(&self, ahead: Duration, deviations: f64) -> f64 {
        let rise = self.trend * ahead.as_secs_f64();
        (self.level + rise + deviations * self.deviation).max(0.0)
    }
}
