//! Rollout of a new version that replaces another.

mod setup;
mod simulation;
mod tally;
mod vm;

use crate::policy::canary::setup::Setup;
use crate::policy::canary::simulation::Simulation;
use crate::policy::{Figure, Policy, Row};

/// The new version is worse than the current one from the start.
pub(crate) fn bad(policy: Policy, seed: u64) -> Row {
    simulate(policy, seed, Setup::bad())
}

/// The new version is as good as the current one.
pub(crate) fn good(policy: Policy, seed: u64) -> Row {
    simulate(policy, seed, Setup::good())
}

/// The new version degrades after its rollout completed.
pub(crate) fn turned_bad(policy: Policy, seed: u64) -> Row {
    simulate(policy, seed, Setup::turned_bad(seed))
}

/// The lease holder fails in the second stage, then every VM is replaced.
pub(crate) fn interrupted(policy: Policy, seed: u64) -> Row {
    simulate(policy, seed, Setup::interrupted())
}

fn simulate(policy: Policy, seed: u64, setup: Setup) -> Row {
    let tally = Simulation::new(setup, policy, seed).run();
    Row {
        policy,
        figures: vec![
            Figure::new("exposed", f64::from(tally.exposed)),
            Figure::new("halted", f64::from(u8::from(tally.halted_at.is_some()))),
            Figure::new("halted_min", tally.halted_minutes()),
            Figure::new("full", f64::from(u8::from(tally.full_at.is_some()))),
            Figure::new("full_min", tally.full_minutes()),
            Figure::new("went_back", f64::from(tally.share_decreases)),
        ],
        curve: tally.curve(),
    }
}
