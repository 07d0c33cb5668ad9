//! Random assignment of requests to the plan or a trial.

use rand::Rng;

use crate::id;
use crate::plan::{Candidate, Goal, Options, Plan, Rater};

/// An entry that serves a small fraction of the requests to collect ratings.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    /// The entry.
    pub entry: id::Entry,
    /// Fraction of the requests, from 0 to 1.
    pub share: f64,
}

/// Plan and trials of a class and an organisation, computed by the control thread.
#[derive(Clone, Debug, PartialEq)]
pub struct Selection {
    /// Plan of the requests outside trials.
    pub plan: Plan,
    /// Trials, drawn by share.
    pub trials: Vec<Trial>,
    /// Fallback entry for a trial whose answer fails; `None` if there is no time to wait
    /// for a verdict.
    pub fallback: Option<id::Entry>,
}

/// Entries assigned to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt<'a> {
    /// Entry that serves the request first.
    pub first: &'a id::Entry,
    /// Entry that serves the request if the first answer fails; the first answer is then
    /// held back until its verdict.
    pub second: Option<&'a id::Entry>,
    /// Whether the request is a trial; trials are always rated.
    pub trial: bool,
}

impl Selection {
    /// Adds trials to `plan`.
    ///
    /// Entries in a rollout get the share of the rollout. All other entries outside the
    /// plan split [`Options::trial_share`], including those with enough ratings, so that
    /// an entry with unlucky ratings can recover.
    #[must_use]
    pub fn new(
        plan: Plan,
        candidates: &[Candidate],
        goal: &Goal,
        rater: &Rater,
        options: &Options,
    ) -> Self {
        let outside = candidates.iter().filter(|one| !plan.uses(&one.entry));
        let established = outside.clone().filter(|one| one.share.is_none()).count();
        let established = f64::from(u32::try_from(established).unwrap_or(u32::MAX));
        let trial = |one: &Candidate| Trial {
            entry: one.entry.clone(),
            share: one.share.unwrap_or(options.trial_share / established),
        };
        let trials = outside.map(trial).collect();
        let fallback = plan.last();
        let may_wait = !goal.latency_first && rater.is_responsive();
        let time = |entry: &id::Entry| {
            let candidate = candidates.iter().find(|one| one.entry == *entry);
            candidate.map(|one| one.time).unwrap_or_default()
        };
        let longest = candidates.iter().map(|one| one.time).max();
        let total = longest.unwrap_or_default() + rater.time() + time(fallback);
        let fallback = (may_wait && total <= goal.time_limit).then(|| fallback.clone());
        Self {
            plan,
            trials,
            fallback,
        }
    }

    /// Draws the entries for one request.
    pub fn draw(&self, rng: &mut impl Rng) -> Attempt<'_> {
        let mut remaining: f64 = rng.random();
        for trial in &self.trials {
            remaining -= trial.share;
            if remaining < 0.0 {
                return Attempt {
                    first: &trial.entry,
                    second: self.fallback.as_ref(),
                    trial: true,
                };
            }
        }
        let (first, second) = match &self.plan {
            Plan::Single(first) => (first, None),
            Plan::Cascade { first, second } => (first, Some(second)),
        };
        Attempt {
            first,
            second,
            trial: false,
        }
    }
}

impl Plan {
    /// Returns whether the plan contains `entry`.
    #[must_use]
    pub fn uses(&self, entry: &id::Entry) -> bool {
        match self {
            Self::Single(only) => only == entry,
            Self::Cascade { first, second } => first == entry || second == entry,
        }
    }

    /// Returns the last entry of the plan, whose answer is returned without a further
    /// fallback.
    #[must_use]
    pub const fn last(&self) -> &id::Entry {
        match self {
            Self::Single(last) | Self::Cascade { second: last, .. } => last,
        }
    }
}
