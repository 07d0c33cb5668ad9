//! Durations of the latest requests of one route.

use std::time::Duration;

/// Number of durations that are kept.
const CAPACITY: usize = 199;
/// Exponent by which the estimate grows beyond the longest duration while too few are known.
const TAIL_EXPONENT: f64 = 0.25;

/// The latest durations of a route, in a ring.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    durations: Vec<Duration>,
    /// Index of the oldest one once the ring is full.
    oldest: usize,
}

impl Recent {
    /// Records a duration in place of the oldest one.
    pub fn record(&mut self, duration: Duration) {
        if self.durations.len() < CAPACITY {
            self.durations.push(duration);
            return;
        }
        self.durations[self.oldest] = duration;
        self.oldest = (self.oldest + 1) % CAPACITY;
    }

    /// Time that a share of `exceeded` requests exceeds; `None` if none has been recorded.
    ///
    /// Of `n` requests, the next one exceeds the longest with a probability of 1 in `n + 1`. If that is too
    /// much, a tail beyond the longest is assumed.
    #[must_use]
    pub fn upper_estimate(&self, exceeded: f64) -> Option<Duration> {
        let outcomes = f64::from(u32::try_from(self.durations.len() + 1).unwrap_or(u32::MAX));
        let longer = outcomes * exceeded;
        let mut sorted = self.durations.clone();
        sorted.sort_unstable_by(|one, other| other.cmp(one));
        let mut ranked = (1_u32..).zip(&sorted);
        let within = ranked.find(|(rank, _)| f64::from(rank + 1) > longer);
        let (_, duration) = within?;
        Some(duration.mul_f64(longer.min(1.0).powf(-TAIL_EXPONENT)))
    }
}
