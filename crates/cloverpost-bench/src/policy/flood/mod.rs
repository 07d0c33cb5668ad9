//! Rate limit of an organisation, shared by many VMs.

mod simulation;
mod tally;
mod vm;

use crate::policy::flood::simulation::{Setup, Simulation};
use crate::policy::{Figure, Policy, Row};

/// Number of VMs of a small deployment.
const SMALL_VMS: usize = 9;

/// Number of VMs of a large deployment.
const LARGE_VMS: usize = 63;

/// An organisation sends five times its rate limit through nine VMs.
pub(crate) fn small_deployment(policy: Policy, seed: u64) -> Row {
    simulate(policy, seed, SMALL_VMS)
}

/// An organisation sends five times its rate limit through sixty-three VMs.
pub(crate) fn large_deployment(policy: Policy, seed: u64) -> Row {
    simulate(policy, seed, LARGE_VMS)
}

fn simulate(policy: Policy, seed: u64, vms: usize) -> Row {
    let tally = Simulation::new(Setup::new(vms), policy, seed).run();
    Row {
        policy,
        figures: vec![
            Figure::new("over_1s", tally.max_excess(1)),
            Figure::new("over_10s", tally.max_excess(10)),
            Figure::new("over_calm_10s", tally.max_excess_settled(10)),
            Figure::new("used_flooded", tally.utilisation(0..100)),
            Figure::new("used_after", tally.utilisation(100..180)),
            Figure::new("small_admitted", tally.small_admitted()),
        ],
        curve: tally.curve(),
    }
}
