//! Simulations that compare the decision code of `cloverpost-core` with baseline policies.
//!
//! [`run`] simulates one [`Scenario`] with one seed; each policy gets the same requests.
//! Time is virtual, so a seed always gives the same report. The models are minimal:
//! engines queue, batch and cache prefixes, and load reports lag.

mod autoscaling;
mod canary;
mod event_queue;
mod figure;
mod flood;
mod options;
mod plot;
mod policies;
mod report;
mod scenario;
mod summary;
mod traffic;
mod versions;

pub use figure::Figure;
pub use options::Options;
pub use plot::Error as PlotError;
pub use policies::Policy;
pub use report::{Axes, Report, Row};
pub use scenario::Scenario;
pub use summary::Summary;

/// Simulates a scenario with the selected policy, or with each of its policies.
#[must_use]
pub fn run(options: &Options) -> Report {
    let scenario = options.scenario;
    let policies = match options.policy {
        Some(only) => vec![only],
        None => scenario.policies().to_vec(),
    };
    let rows = policies
        .into_iter()
        .map(|policy| scenario.simulate(policy, options.seed))
        .collect();
    Report {
        scenario,
        seed: options.seed,
        axes: scenario.axes(),
        rows,
    }
}
