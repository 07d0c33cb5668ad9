//! Learnt speeds of upstreams.

mod engine;
mod simulation;
mod values;

use rstest::rstest;
use simulation::{Outcome, Rule, Scenario};

/// Required bound of requests divided by speed, busiest upstream to mean.
const BUSIEST_BY_SPEED: f64 = 1.15;

/// Seed of the simulation, or another one to repeat the measurements with.
fn seed() -> u64 {
    let seed = std::env::var("SPEEDS_SEED").ok();
    seed.map_or(1, |seed| seed.parse().unwrap())
}

fn play(rule: Rule, load: f64) -> Outcome {
    let seed = seed();
    let outcome = simulation::run(Scenario {
        rule,
        seed,
        load,
        seconds: 255,
    });
    println!("seed {seed}, load {load}, {rule:?}: {outcome}");
    outcome
}

/// 27 VMs in three zones with 12 requests per second each, 90 upstreams of speeds 1, 1 and 1.3 that slow
/// down by 2.5 for intervals of 0.6 s. Prompts keep upstreams busy for about half of the time at load 1.
#[rstest]
#[case::half(0.5)]
#[case::full(1.0)]
fn requests_follow_speeds(#[case] load: f64) {
    let today = std::thread::spawn(move || play(Rule::Latency, load));
    let learnt = play(Rule::Speed, load);
    let today = today.join().unwrap();
    assert!(learnt.busiest_by_speed < BUSIEST_BY_SPEED, "{learnt}");
    assert!(
        learnt.busiest_by_speed < today.busiest_by_speed + 0.02,
        "{learnt}, today {today}"
    );
    // Rows are bounded by the number of upstreams.
    assert!(learnt.rows <= 90, "{learnt}");
}
