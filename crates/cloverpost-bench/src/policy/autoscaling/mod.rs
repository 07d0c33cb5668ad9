//! Autoscaling of replicas over a day.

mod demand;
mod simulation;

use crate::policy::autoscaling::simulation::Simulation;
use crate::policy::{Figure, Policy, Row};

/// A day with bursts of demand and replicas that take minutes to wake.
pub(crate) fn burst(policy: Policy, seed: u64) -> Row {
    let tally = Simulation::new(policy, seed).run();
    Row {
        policy,
        figures: vec![
            Figure::new("cost_of_awake", tally.cost_share()),
            Figure::new("short_share", tally.unserved_share()),
            Figure::new("wakes", f64::from(tally.wakes)),
        ],
        curve: tally.curve,
    }
}
