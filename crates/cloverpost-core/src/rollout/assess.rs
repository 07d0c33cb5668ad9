//! Evaluation of a rollout stage.

use std::time::Duration;

use crate::evidence;
use crate::rollout::{Options, Row, State, sequential_test};

/// Ratings of both versions, pooled over all VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Ratings of the new version.
    pub new: evidence::Counts,
    /// Ratings of the replaced version.
    pub old: evidence::Counts,
}

/// Result of an evaluation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The evidence is not sufficient yet.
    Wait,
    /// The next stage may begin once it is written to the table.
    Advance,
    /// The new version is worse; this VM stops routing to it at once.
    Halt,
}

/// Evaluates the ratings of the current stage, which began `elapsed` ago.
#[must_use]
pub fn assess(row: &Row, known: Evidence, elapsed: Duration, options: &Options) -> Verdict {
    if row.state != State::Running {
        return Verdict::Wait;
    }
    let since = row.since_mark(known);
    if is_worse_in_stage(since, options) {
        Verdict::Halt
    } else if elapsed >= options.min_stage_duration && is_as_good(since, options) {
        Verdict::Advance
    } else {
        Verdict::Wait
    }
}

/// Tests for a regression with the false-halt rate divided among the stages.
fn is_worse_in_stage(since: Evidence, options: &Options) -> bool {
    let stages = u32::try_from(options.shares.len()).unwrap_or(u32::MAX);
    is_worse(since, options.false_halt / f64::from(stages.max(1)))
}

/// Returns whether the new version is worse. `false_halt` bounds the probability that
/// this is ever true for a version as good as the replaced one, over any number of calls.
#[must_use]
pub fn is_worse(evidence: Evidence, false_halt: f64) -> bool {
    sequential_test::evidence_below(evidence.new, sequential_test::lower_bound(evidence.old))
        >= 1.0 / false_halt
}

/// Returns whether the new version is worse on any of `routes`, or slightly worse on all
/// of them. `false_halt` is as for [`is_worse()`], averaged over the posterior of the old
/// rate.
#[must_use]
pub fn is_worse_on_any(routes: &[Evidence], false_halt: f64) -> bool {
    let tests = u32::try_from(routes.len() + 1).unwrap_or(u32::MAX);
    let threshold = f64::from(tests) / false_halt;
    let mut each = routes.chunks(1);
    each.any(|route| sequential_test::evidence_of_decline(route) >= threshold)
        || sequential_test::evidence_of_decline(routes) >= threshold
}

/// Tests for quality no worse than before. A bad version would have to pass in every
/// stage, so the miss rate is not divided.
fn is_as_good(since: Evidence, options: &Options) -> bool {
    if since.old.total() == 0 {
        return false;
    }
    let before = sequential_test::upper_bound(since.old);
    sequential_test::evidence_above(since.new, before, options.drop) >= 1.0 / options.miss_rate
}
