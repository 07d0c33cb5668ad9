//! Comparison of the responses of two versions.
//!
//! Failures are compared on their own as well as together with slow and missing responses. Under
//! overload a quarter of the responses of the previous version are slow, which alone would hide a
//! new version that is fast and fails a third of its requests.

use crate::evidence;
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
/// Part of [`MAX_FALSE_HALT_RATE`] for the comparison of the pace of streams.
const PACE_FRACTION: f64 = 0.2;
/// Number of periods that are compared: the whole rollout and its last stage.
const PERIODS: f64 = 2.0;
/// Weight of a slow response relative to a failed one.
const SLOW_WEIGHT: f64 = 0.1;
/// Weight of a stream that is slower than those of an idle version.
const PACE_WEIGHT: f64 = 0.3;
/// Expected number of spoiled requests up to which a version is accepted on any service.
const MAX_EXPECTED_LOSSES: f64 = 1.1;
/// The same, as a fraction of the responses of the old version. A large service has so many rare
/// routes that their number alone would exceed a fixed bound.
const MAX_LOSS_RATE: f64 = 0.0003;

/// Evidence of one period, with one entry per route and span.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Responses; those that are slow, failed or missing count as fails.
    pub responses: Vec<rollout::Evidence>,
    /// Responses that the upstream itself completed or failed.
    pub failures: Vec<rollout::Evidence>,
    /// Streams; those slower than streams of an idle old version count as fails.
    pub pace: Vec<rollout::Evidence>,
}

impl Comparison {
    /// Returns the comparison in which the new version is worse, if any.
    ///
    /// [`MAX_FALSE_HALT_RATE`] bounds the probability that this ever returns one for a good
    /// version, over all calls on the two periods of its rollout.
    #[must_use]
    pub fn regression(&self) -> Option<Regression> {
        let rate = MAX_FALSE_HALT_RATE / PERIODS;
        let (failures, pace) = (rate * FAILURE_FRACTION, rate * PACE_FRACTION);
        if is_worse(&self.failures, failures) {
            Some(Regression::Failures)
        } else if is_worse(&self.responses, rate - failures - pace) {
            Some(Regression::Responses)
        } else if is_worse(&idle_pace(&self.pace), pace) {
            Some(Regression::Pace)
        } else {
            None
        }
    }

    /// Returns the number of requests that the new version is expected to spoil among as many as the
    /// old one has served so far.
    #[must_use]
    pub fn expected_losses(&self) -> f64 {
        rollout::expected_losses(&self.failures)
            + SLOW_WEIGHT * rollout::expected_losses(&self.responses)
            + PACE_WEIGHT * rollout::expected_losses(&idle_pace(&self.pace))
    }

    /// Whether the evidence shows that the new version is as good as the old one, given that it is from
    /// `coverage` of all VMs, from 0 to 1.
    ///
    /// Keeping a bad version affects every caller until somebody notices, whereas a rollout that is not
    /// completed can be ordered again. So what the evidence does not tell counts against the version.
    #[must_use]
    pub fn is_as_good(&self, coverage: f64) -> bool {
        let responses = self.responses.iter().map(|route| route.old.total());
        let responses = f64::from(u32::try_from(responses.sum::<u64>()).unwrap_or(u32::MAX));
        let accepted = (MAX_EXPECTED_LOSSES * coverage).max(MAX_LOSS_RATE * responses);
        self.expected_losses() <= accepted
    }
}

fn is_worse(routes: &[rollout::Evidence], rate: f64) -> bool {
    let routes = routes.iter().filter(|route| route.new.total() > 0);
    rollout::is_worse_on_any(&routes.copied().collect::<Vec<_>>(), rate)
}

/// Returns the pace with at most half of the old version's streams above the floor.
///
/// The new version, with a small share of the requests, is idle. Compared with an overloaded old
/// version, of which all streams may be slow, any pace would look good.
fn idle_pace(pace: &[rollout::Evidence]) -> Vec<rollout::Evidence> {
    let capped = pace.iter().map(|route| {
        let fails = route.old.fails.min(route.old.passes.max(1));
        rollout::Evidence {
            old: evidence::Counts { fails, ..route.old },
            ..*route
        }
    });
    capped.collect()
}
