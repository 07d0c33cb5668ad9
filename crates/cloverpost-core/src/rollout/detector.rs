//! Drift detection for a version at full share.

use crate::evidence;
use crate::rollout::{Options, sequential_test};

/// Quality drops below the reference that are tested.
const DROPS: [f64; 2] = [0.05, 0.2];

/// Detects a quality drop after the rollout with one CUSUM statistic of log likelihood
/// ratios per drop. Each is bounded below by zero, so that earlier good ratings do not
/// delay an alarm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Detector {
    reference: f64,
    sums: [f64; DROPS.len()],
}

impl Detector {
    /// Creates a detector for a version with the `ratings` so far.
    #[must_use]
    pub fn new(ratings: evidence::Counts) -> Self {
        Self {
            reference: sequential_test::lower_bound(ratings),
            sums: [0.0; DROPS.len()],
        }
    }

    /// Records ratings and returns whether the version has regressed.
    pub fn record(&mut self, counts: evidence::Counts, options: &Options) -> bool {
        for (sum, drop) in self.sums.iter_mut().zip(DROPS) {
            let ratio = sequential_test::log_likelihood_ratio(
                counts,
                self.reference - drop,
                self.reference,
            );
            *sum = (*sum + ratio).max(0.0);
        }
        self.alarm(options)
    }

    /// Returns whether the version has regressed.
    ///
    /// A statistic of a good version reaches `ln(n)` at most once in `n` ratings; the
    /// statistics share the false-alarm rate.
    #[must_use]
    pub fn alarm(&self, options: &Options) -> bool {
        let sums = u32::try_from(DROPS.len()).unwrap_or(u32::MAX);
        let rate = options.false_alarm / f64::from(sums);
        self.sums.iter().any(|sum| *sum >= -rate.ln())
    }
}
