//! Version selection: cost, quality and latency of the answers.

mod classes;
mod simulation;
mod tally;
mod version;
mod workload;

use std::time::Duration;

use crate::policy::versions::classes::{BRIEF, SHEET, TAG};
use crate::policy::versions::simulation::{Setup, Simulation};
use crate::policy::versions::tally::Tally;
use crate::policy::{Figure, Policy, Row};

/// Duration of a run.
const DURATION: Duration = Duration::from_hours(2);

/// All organisations send equally difficult requests.
pub(crate) fn steady(policy: Policy, seed: u64) -> Row {
    simulate(policy, seed, Setup::new(DURATION))
}

/// The difficulty of requests differs between organisations.
pub(crate) fn unlike_classes(policy: Policy, seed: u64) -> Row {
    let setup = Setup {
        mixed_difficulty: true,
        ..Setup::new(DURATION)
    };
    simulate(policy, seed, setup)
}

/// The rating service is down in the second quarter of the run.
pub(crate) fn rating_outage(policy: Policy, seed: u64) -> Row {
    let setup = Setup {
        outage: Some((DURATION / 4, DURATION / 2)),
        ..Setup::new(DURATION)
    };
    simulate(policy, seed, setup)
}

fn simulate(policy: Policy, seed: u64, setup: Setup) -> Row {
    let tally = Simulation::new(setup, policy, seed).run();
    Row {
        policy,
        figures: figures(&tally),
        curve: tally.cost_curve(),
    }
}

fn figures(tally: &Tally) -> Vec<Figure> {
    vec![
        Figure::new("cost_of_best", tally.cost_share()),
        Figure::new("brief_quality", tally.quality(BRIEF)),
        Figure::new("tag_quality", tally.quality(TAG)),
        Figure::new("sheet_quality", tally.quality(SHEET)),
        Figure::new("least_above", tally.min_quality_margin()),
        Figure::new("brief_p95_s", tally.p95_latency(BRIEF)),
        Figure::new("tag_p95_s", tally.p95_latency(TAG)),
        Figure::new("sheet_p95_s", tally.p95_latency(SHEET)),
        Figure::new("outage_quality", tally.outage_quality()),
        Figure::new("outage_p95_s", tally.outage_p95_latency()),
    ]
}
