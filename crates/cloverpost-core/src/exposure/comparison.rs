//! Comparison of the responses of two versions.
//!
//! Failures are compared on their own as well as together with slow and missing responses. Under
//! overload a quarter of the responses of the previous version are slow, which alone would hide a
//! new version that is fast and fails a third of its requests.

use crate::exposure::Regression;
use crate::rollout;

/// Upper bound on the probability of halting a rollout of a good version. A false halt only delays
/// a rollout, whereas a missed bad version affects every caller. With 0.01, one in three versions
/// that answered half of their requests eight times slower was missed.
pub const MAX_FALSE_HALT_RATE: f64 = 0.2;
/// Part of [`MAX_FALSE_HALT_RATE`] for the comparison of failures. Failures are rare on a good
/// version, so that comparison needs few responses even at a low rate. The greater part is left to
/// the other comparison, whose power depends on it.
const FAILURE_FRACTION: f64 = 0.2;
/// Number of periods that are compared: the whole rollout and its last stage.
const PERIODS: f64 = 2.0;

/// Evidence of one period, with one entry per route and span.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Responses; those that are slow, failed or missing count as fails.
    pub responses: Vec<rollout::Evidence>,
    /// Responses that the upstream itself completed or failed.
    pub failures: Vec<rollout::Evidence>,
}

impl Comparison {
    /// Returns the comparison in which the new version is worse, if any.
    ///
    /// [`MAX_FALSE_HALT_RATE`] bounds the probability that this ever returns one for a good
    /// version, over all calls on the two periods of its rollout.
    #[must_use]
    pub fn regression(&self) -> Option<Regression> {
        let rate = MAX_FALSE_HALT_RATE / PERIODS;
        let failures = rate * FAILURE_FRACTION;
        if rollout::is_worse_on_any(&self.failures, failures) {
            Some(Regression::Failures)
        } else if rollout::is_worse_on_any(&self.responses, rate - failures) {
            Some(Regression::Responses)
        } else {
            None
        }
    }
}
