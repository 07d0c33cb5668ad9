//! Latency baseline of comparable answers, such as those on one route.

/// Multiple of the median latency above which an answer counts as slow. Prompts differ in length
/// by as much, but equally on both versions.
const SLOW_RATIO: f64 = 2.5;
/// Minimum excess over the median, in seconds. Tolerates the connection setup to a new version
/// when the median is very low.
const MIN_EXCESS: f64 = 0.03;
/// Relative step of the short-term median per sample. A few long prompts would
/// raise a mean so far that answers eight times slower than usual pass.
const SHORT_TERM_STEP: f64 = 0.03;
/// Relative step of the long-term median per sample, small enough that a burst of eight seconds
/// raises the median by half at most.
const LONG_TERM_STEP: f64 = 0.003;
/// Number of samples before which both medians use the larger step.
const WARM_UP_SAMPLES: u32 = 50;

/// Short-term and long-term streaming medians of the old version's latency, in seconds.
///
/// A burst slows down the old version but not the new one, which gets a small share of the
/// traffic. The new version is therefore compared with the lower of the two medians; the
/// short-term median alone would hide a slow new version during a burst.
#[derive(Clone, Copy, Debug)]
pub struct Baseline {
    short_term: f64,
    long_term: f64,
    samples: u32,
}

impl Baseline {
    /// Creates a baseline from a first sample of `latency` seconds.
    #[must_use]
    pub const fn new(latency: f64) -> Self {
        Self {
            short_term: latency,
            long_term: latency,
            samples: 0,
        }
    }

    /// Whether an answer with a latency of `latency` seconds is slow for the old version, if
    /// `is_old`, or for the new one. Only the old version's samples update the baseline, so that a
    /// slow new version cannot raise it.
    pub fn is_slow(&mut self, latency: f64, is_old: bool) -> bool {
        let median = if is_old {
            self.short_term
        } else {
            self.short_term.min(self.long_term)
        };
        if is_old {
            self.update(latency);
        }
        latency > median * SLOW_RATIO && latency > median + MIN_EXCESS
    }

    fn update(&mut self, latency: f64) {
        self.samples = self.samples.saturating_add(1);
        self.short_term = step_median(self.short_term, latency, SHORT_TERM_STEP);
        self.long_term = if self.samples < WARM_UP_SAMPLES {
            self.short_term
        } else {
            step_median(self.long_term, latency, LONG_TERM_STEP)
        };
    }
}

fn step_median(median: f64, latency: f64, step: f64) -> f64 {
    if latency > median {
        median * (1.0 + step)
    } else {
        median * (1.0 - step)
    }
}
