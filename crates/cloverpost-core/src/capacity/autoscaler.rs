//! Autoscaling decision for one version.

use std::time::Duration;

use crate::capacity::{Forecast, Options};
use crate::time;

/// Computes the target number of awake replicas of one version.
#[derive(Clone, Debug)]
pub struct Autoscaler {
    options: Options,
    forecast: Forecast,
    /// When each replica, by ordinal, became idle; `None` if it is needed.
    idle_since: Vec<Option<time::Moment>>,
}

impl Autoscaler {
    /// Creates an autoscaler without any observed demand.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let max_replicas = usize::try_from(options.max_replicas).unwrap_or(usize::MAX);
        Self {
            options,
            forecast: Forecast::default(),
            idle_since: vec![None; max_replicas],
        }
    }

    /// Records the demand and returns the target number of awake replicas. `awake` counts the
    /// replicas that are awake or waking.
    pub fn target(&mut self, demand: f64, awake: u32, now: time::Moment) -> u32 {
        self.forecast.record(demand, now);
        let needed = self.needed(awake);
        let mut target = needed.max(self.options.min_replicas);
        for (ordinal, idle_since) in (1..).zip(&mut self.idle_since) {
            if ordinal <= needed {
                *idle_since = None;
                continue;
            }
            let since = *idle_since.get_or_insert(now);
            let is_past_break_even = now.since(since) >= self.options.break_even;
            if ordinal <= awake && !is_past_break_even {
                target = target.max(ordinal);
            }
        }
        target
    }

    /// Replicas needed for the present demand, and for the predicted demand at the time when
    /// replicas woken now are ready.
    fn needed(&self, awake: u32) -> u32 {
        let needed_now = self.replicas_after(Duration::ZERO);
        let asleep = self.options.max_replicas.saturating_sub(awake);
        let to_wake = (1..=asleep).take_while(|count| {
            let ready = self.options.wake_time(*count);
            self.replicas_after(ready) >= awake + count
        });
        let woken = u32::try_from(to_wake.count()).unwrap_or(0);
        let needed_when_ready = self.replicas_after(self.options.wake_time(1));
        if woken > 0 {
            awake + woken
        } else {
            needed_now.max(needed_when_ready.min(awake))
        }
    }

    fn replicas_after(&self, ahead: Duration) -> u32 {
        let demand = self.forecast.predict(ahead, self.options.deviations);
        self.options.replicas(demand)
    }
}
