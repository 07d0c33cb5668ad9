//! Samples of an upstream's speed.

/// Bounds of the logarithm of one sample: a factor of four either way. Upstreams slow down by a factor
/// of 2.5; larger factors come from work that the expectation does not know of.
const LOG_BOUND: f32 = 1.386;
/// Maximum number of samples that a sum may claim.
const MAX_SAMPLES: f32 = 1e6;
/// Number of samples at which the mean is shrunk by half. A single sample varies by a factor of about
/// 1.5, several times the differences to be found.
const PRIOR_SAMPLES: f64 = 6.0;

/// Ratios of measured to expected times to first byte, summed over the last seconds.
///
/// Sums of several VMs can be added, unlike their means.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Ratios {
    /// Sum of the natural logarithms of the ratios.
    pub log_sum: f32,
    /// Number of ratios; a fraction, since ratios lose weight with age.
    pub samples: f32,
}

impl Ratios {
    /// No samples.
    pub const NONE: Self = Self {
        log_sum: 0.0,
        samples: 0.0,
    };

    /// A single sample of `took` seconds where `expected` were expected; `None` unless both are positive
    /// and finite.
    #[must_use]
    pub fn of(took: f64, expected: f64) -> Option<Self> {
        let is_valid = |seconds: f64| seconds.is_finite() && seconds > 0.0;
        if !is_valid(took) || !is_valid(expected) {
            return None;
        }
        #[allow(clippy::cast_possible_truncation)] // bounded below
        let log = (took.ln() - expected.ln()) as f32;
        Some(Self {
            log_sum: log.clamp(-LOG_BOUND, LOG_BOUND),
            samples: 1.0,
        })
    }

    /// Whether this may be a sum of samples.
    #[must_use]
    pub fn is_possible(self) -> bool {
        // Sums of rounded numbers may pass the bound a little.
        let bound = self.samples * LOG_BOUND * 1.01 + 0.01;
        (0.0..=MAX_SAMPLES).contains(&self.samples) && self.log_sum.abs() <= bound
    }

    /// Sum of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            log_sum: self.log_sum + other.log_sum,
            samples: self.samples + other.samples,
        }
        .bounded()
    }

    /// What remains of this sum without `part`.
    #[must_use]
    pub fn minus(self, part: Self) -> Self {
        Self {
            log_sum: self.log_sum - part.log_sum,
            samples: self.samples - part.samples,
        }
        .bounded()
    }

    /// All samples with `weight`, from 0 to 1.
    #[must_use]
    pub fn weighted(self, weight: f32) -> Self {
        Self {
            log_sum: self.log_sum * weight,
            samples: self.samples * weight,
        }
        .bounded()
    }

    /// Mean logarithm of the ratios, shrunk towards 0 if there are few.
    #[must_use]
    pub fn mean_log(self) -> f64 {
        let bounded = self.bounded();
        f64::from(bounded.log_sum) / (f64::from(bounded.samples) + PRIOR_SAMPLES)
    }

    /// The sum, or no samples if it cannot be a sum of samples, as in a message with a fault.
    fn bounded(self) -> Self {
        if !self.log_sum.is_finite() || !self.samples.is_finite() || self.samples <= 0.0 {
            return Self::NONE;
        }
        let samples = self.samples.min(MAX_SAMPLES);
        let bound = samples * LOG_BOUND;
        Self {
            log_sum: self.log_sum.clamp(-bound, bound),
            samples,
        }
    }
}
