//! Quality estimate from ratings.

use crate::evidence;

/// Number of later ratings after which the weight of a rating has decayed to 1/e.
const DECAY_RATINGS: f64 = 400.0;

/// Exponentially decayed pass and fail counts combined with a prior.
///
/// Ratings decay with later ratings rather than with time, so the estimate does not
/// change while no ratings arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    passes: f64,
    fails: f64,
    prior: f64,
    prior_weight: f64,
}

impl Estimate {
    /// Creates an estimate from a prior quality `prior`, from 0 to 1, with the weight of
    /// `prior_weight` ratings.
    #[must_use]
    pub const fn new(prior: f64, prior_weight: f64) -> Self {
        Self {
            passes: 0.0,
            fails: 0.0,
            prior,
            prior_weight,
        }
    }

    /// Returns the same ratings with another prior.
    #[must_use]
    pub const fn with_prior(self, prior: f64, prior_weight: f64) -> Self {
        Self {
            prior,
            prior_weight,
            ..self
        }
    }

    /// Adds ratings.
    pub fn record(&mut self, counts: evidence::Counts) {
        let kept = (-to_f64(counts.total()) / DECAY_RATINGS).exp();
        self.passes = self.passes * kept + to_f64(counts.passes);
        self.fails = self.fails * kept + to_f64(counts.fails);
    }

    /// Returns the decayed number of ratings.
    #[must_use]
    pub fn weight(&self) -> f64 {
        self.passes + self.fails
    }

    /// Returns the expected fraction of answers that pass.
    #[must_use]
    pub fn mean(&self) -> f64 {
        let passes = self.passes + self.prior * self.prior_weight;
        passes / (self.weight() + self.prior_weight)
    }

    /// Returns the mean minus `deviations` standard deviations.
    ///
    /// One additional pass and fail are assumed for the deviation; otherwise it would be
    /// zero for a version without failures.
    #[must_use]
    pub fn lower_bound(&self, deviations: f64) -> f64 {
        let ratings = self.weight() + self.prior_weight;
        let smoothed = (self.mean() * ratings + 1.0) / (ratings + 2.0);
        let deviation = (smoothed * (1.0 - smoothed) / (ratings + 2.0)).sqrt();
        (self.mean() - deviations * deviation).max(0.0)
    }
}

fn to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
