//! Options of a simulation.

use crate::policy::{Policy, Scenario};

/// Scenario, seed and policy selection of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// The scenario to simulate.
    pub scenario: Scenario,
    /// Seed of the random number generators.
    pub seed: u64,
    /// The policy to simulate; all policies of the scenario if `None`.
    pub policy: Option<Policy>,
}
