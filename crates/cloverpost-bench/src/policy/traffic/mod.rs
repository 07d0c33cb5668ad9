//! Requests from callers through VMs to the engines of one pool.

mod arrivals;
mod engine;
mod request;
mod setup;
mod simulation;
mod tally;
mod vm;

use crate::policy::traffic::setup::Setup;
use crate::policy::traffic::simulation::Simulation;
use crate::policy::{Figure, Policy, Row};

/// Normal demand, as a fraction of the pool's capacity.
const NORMAL_LOAD: f64 = 0.8;

/// Demand in overload, as a multiple of the pool's capacity.
const OVERLOAD: f64 = 2.0;

/// Latency with lagging load reports.
pub(crate) fn stale_reports(policy: Policy, seed: u64) -> Row {
    let tally = Simulation::new(Setup::with_load(NORMAL_LOAD), policy, seed).run();
    Row {
        policy,
        figures: vec![
            Figure::new("p50_s", tally.latency(50.0)),
            Figure::new("p95_s", tally.latency(95.0)),
            Figure::new("p99_s", tally.latency(99.0)),
            Figure::new("wait_p99_s", tally.time_to_first_byte(99.0)),
            Figure::new("in_time_share", tally.in_time_share()),
            Figure::new("cached_share", tally.cached_share()),
            Figure::new("answers_per_s", tally.answers_per_second()),
        ],
        curve: tally.latency_curve(),
    }
}

/// Goodput with a demand of twice the pool's capacity.
///
/// The capacity is the throughput without shedding, late answers included.
pub(crate) fn overload(policy: Policy, seed: u64) -> Row {
    let unshed = Simulation::new(Setup::with_load(OVERLOAD), Policy::NoShedding, seed).run();
    let normal = Simulation::new(Setup::with_load(NORMAL_LOAD), policy, seed).run();
    let tally = Simulation::new(Setup::with_load(OVERLOAD), policy, seed).run();
    let capacity = unshed.tokens_per_second();
    let top = setup::TOP_CLASS;
    Row {
        policy,
        figures: vec![
            Figure::new("goodput_share", tally.good_tokens_per_second() / capacity),
            Figure::new("good_answers_s", tally.good_answers_per_second()),
            Figure::new("top_in_time", tally.class_in_time_share(top)),
            Figure::new("top_p95_s", tally.class_latency(top, 95.0)),
            Figure::new("top_p95_calm_s", normal.class_latency(top, 95.0)),
            Figure::new("top_wait_p95", tally.class_time_to_first_byte(top, 95.0)),
            Figure::new("top_wait_calm", normal.class_time_to_first_byte(top, 95.0)),
            Figure::new("refused_share", tally.refused_share()),
            Figure::new("late_share", tally.late_share()),
        ],
        curve: tally.goodput_curve(),
    }
}
