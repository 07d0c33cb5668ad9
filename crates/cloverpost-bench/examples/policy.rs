//! Simulates a scenario of the decision policies and prints a summary as Markdown.
//!
//! `cargo run --release -p cloverpost-bench --example policy SCENARIO SEEDS`

use cloverpost_bench::policy;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().expect("missing argument SCENARIO");
    let seeds = arguments.next().expect("missing argument SEEDS");
    let scenario = name.parse().expect("SCENARIO is unknown");
    let seeds = seeds.parse().expect("SEEDS is not a number");
    print!("{}", policy::Summary::simulate(scenario, seeds));
}
