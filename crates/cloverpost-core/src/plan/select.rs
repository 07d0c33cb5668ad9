//! Selection of the plan with the lowest expected cost.

use std::time::Duration;

use crate::id;
use crate::plan::{Candidate, Estimate, Goal, Rater};

/// Settings of the selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Standard deviations subtracted from the mean quality for its lower bound.
    pub deviations: f64,
    /// Number of ratings from which an entry counts as known.
    pub min_ratings: f64,
    /// Cost of one verdict, in micro-units of the operator's currency.
    pub verdict_cost: f64,
    /// Time that latency-first classes accept for a lower cost, as a multiple of the
    /// fastest plan.
    pub latency_slack: f64,
    /// Total fraction of the requests served by entries outside the plan.
    pub trial_share: f64,
    /// Quality margin above the target, to compensate for trials.
    pub margin: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            deviations: 1.3,
            min_ratings: 40.0,
            verdict_cost: 0.0,
            latency_slack: 1.1,
            trial_share: 0.04,
            margin: 0.002,
        }
    }
}

/// Assignment of versions to the requests of a class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// A single version answers.
    Single(id::Entry),
    /// `first` answers; if its answer fails a rating, `second` answers.
    Cascade {
        /// The cheaper version.
        first: id::Entry,
        /// The more expensive version.
        second: id::Entry,
    },
}

/// A plan with its expected cost, quality and duration.
struct CostedPlan {
    plan: Plan,
    cost: f64,
    quality: f64,
    time: Duration,
}

/// Selects a plan among `candidates`; returns `None` if there are none.
///
/// `estimate_after_failure` returns the quality estimate of its first argument on requests
/// that the second one failed. If no entry is known, the one with the highest estimate is
/// used; if no plan meets the target, the one with the highest quality.
#[must_use]
pub fn select(
    candidates: &[Candidate],
    estimate_after_failure: impl Fn(&Candidate, &Candidate) -> Estimate,
    goal: &Goal,
    rater: &Rater,
    options: &Options,
) -> Option<Plan> {
    let best = best(candidates, options)?;
    let usable = |one: &&Candidate| one.entry == best.entry || is_known(one, options);
    let usable: Vec<_> = candidates.iter().filter(usable).collect();
    let mut plans: Vec<_> = usable.iter().map(|one| single(one, options)).collect();
    if goal.latency_first {
        return fastest(plans, goal, options);
    }
    if rater.is_responsive() {
        plans.extend(cascades(
            &usable,
            estimate_after_failure,
            goal,
            rater,
            options,
        ));
    }
    plans.retain(|one| one.time <= goal.time_limit || one.plan == single(best, options).plan);
    cheapest(plans, goal, options)
}

/// Returns whether `candidate` has enough ratings and is not being rolled out. Entries in
/// a rollout serve only their share.
fn is_known(candidate: &Candidate, options: &Options) -> bool {
    candidate.share.is_none() && candidate.ratings >= options.min_ratings
}

/// Returns the known candidate with the highest estimate; unknown ones are considered
/// only if none is known, because a declared quality is not evidence.
fn best<'a>(candidates: &'a [Candidate], options: &Options) -> Option<&'a Candidate> {
    let by_quality = |left: &&Candidate, right: &&Candidate| {
        left.estimate.mean().total_cmp(&right.estimate.mean())
    };
    let known = candidates.iter().filter(|one| is_known(one, options));
    let established = candidates.iter().filter(|one| one.share.is_none());
    known
        .max_by(by_quality)
        .or_else(|| established.max_by(by_quality))
        .or_else(|| candidates.iter().max_by(by_quality))
}

fn single(candidate: &Candidate, options: &Options) -> CostedPlan {
    CostedPlan {
        plan: Plan::Single(candidate.entry.clone()),
        cost: candidate.cost,
        quality: candidate.estimate.lower_bound(options.deviations),
        time: candidate.time,
    }
}

/// Returns the cascades of a cheaper and a more expensive version within the time limit.
fn cascades(
    candidates: &[&Candidate],
    estimate_after_failure: impl Fn(&Candidate, &Candidate) -> Estimate,
    goal: &Goal,
    rater: &Rater,
    options: &Options,
) -> Vec<CostedPlan> {
    let mut plans = Vec::new();
    for first in candidates {
        for second in candidates.iter().filter(|one| one.cost > first.cost) {
            let estimate = estimate_after_failure(second, first);
            let plan = cascade(first, second, &estimate, rater, options);
            if plan.time <= goal.time_limit {
                plans.push(plan);
            }
        }
    }
    plans
}

/// Computes the plan of a cascade. If a verdict is missing, the first answer is returned
/// unrated.
fn cascade(
    first: &Candidate,
    second: &Candidate,
    second_estimate: &Estimate,
    rater: &Rater,
    options: &Options,
) -> CostedPlan {
    let fails = 1.0 - first.estimate.mean();
    let escalated = fails * rater.response_rate();
    let passes = first.estimate.lower_bound(options.deviations);
    let recovered =
        (1.0 - passes) * rater.response_rate() * second_estimate.lower_bound(options.deviations);
    CostedPlan {
        plan: Plan::Cascade {
            first: first.entry.clone(),
            second: second.entry.clone(),
        },
        cost: first.cost + options.verdict_cost + escalated * second.cost,
        quality: passes + recovered,
        time: first.time + rater.time() + second.time,
    }
}

/// Returns the cheapest plan that meets the target, or else the one with the highest
/// quality.
fn cheapest(plans: Vec<CostedPlan>, goal: &Goal, options: &Options) -> Option<Plan> {
    let target = goal.quality + options.margin;
    let meets = plans.iter().filter(|one| one.quality >= target);
    let cheapest = meets.min_by(|left, right| left.cost.total_cmp(&right.cost));
    if let Some(cheapest) = cheapest {
        return Some(cheapest.plan.clone());
    }
    let best = plans
        .into_iter()
        .max_by(|left, right| left.quality.total_cmp(&right.quality));
    best.map(|best| best.plan)
}

/// Returns the cheapest among the fastest plans that meet the target.
fn fastest(mut plans: Vec<CostedPlan>, goal: &Goal, options: &Options) -> Option<Plan> {
    let target = goal.quality + options.margin;
    if plans.iter().any(|one| one.quality >= target) {
        plans.retain(|one| one.quality >= target);
        let shortest = plans.iter().map(|one| one.time).min()?;
        let longest = shortest.mul_f64(options.latency_slack);
        plans.retain(|one| one.time <= longest);
    }
    cheapest(plans, goal, options)
}
