//! Candidates of the plan selection.

use std::time::Duration;

use crate::id;
use crate::plan::Estimate;

/// An entry eligible to serve a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The entry.
    pub entry: id::Entry,
    /// Expected cost of an answer, in micro-units of the operator's currency.
    pub cost: f64,
    /// Upper estimate of the duration of an answer, see
    /// [`crate::overload::Estimator::upper_bound`].
    pub time: Duration,
    /// Quality estimate for this organisation.
    pub estimate: Estimate,
    /// Decayed number of ratings by all organisations.
    pub ratings: f64,
    /// Fraction of the requests assigned by a rollout; `None` outside rollouts.
    pub share: Option<f64>,
}
