//! Measures the propagation of catalogue revisions in the simulation of the tests.
//!
//! Prints the time until a revision is in force, the traffic, and the effect of each rule for
//! isolated VMs.
//!
//! `cargo run --release -p cloverpost-core --example spread [SIZE...]`

#[allow(dead_code, missing_docs)]
#[path = "../tests/behaviour/spread/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use cloverpost_core::id;
use fleet::Fleet;

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);
/// Requests per second offered to each VM.
const REQUEST_RATE: u32 = 10;

fn main() {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .flat_map(|arg| arg.parse())
        .collect();
    let sizes = if sizes.is_empty() {
        vec![3, 9, 27]
    } else {
        sizes
    };
    println!(
        "| VMs | loss | held by all p50 / p99 / max ms | reported in force p50 / p99 / max ms |"
    );
    for &size in &sizes {
        for loss in [0.0, 0.1] {
            measure_latency(size, loss);
        }
    }
    println!("\n| VMs | load | sent bytes/s per VM mean / max | polls/s | process µs/s per VM |");
    for &size in &sizes {
        measure_traffic(size, "rest", 0, false);
        measure_traffic(size, "5 edits/s", 5, false);
        measure_traffic(size, "store down", 0, true);
    }
    println!("\n| fault | rule | stale | refused | of |");
    for scenario in &SCENARIOS {
        compare_rules(scenario);
    }
}

fn measure_latency(size: usize, loss: f64) {
    let edits = if size > 100 { 10 } else { 200 };
    let mut fleet = Fleet::settled(size, zones(size), 7);
    fleet.network.lost = loss;
    let (mut held, mut reported) = (Vec::new(), Vec::new());
    for edit in 0..edits {
        fleet.run(MILLI * (2000 + edit * 37 % 1000));
        let start = fleet.now;
        let revision = fleet.edit(edit as usize % size).unwrap();
        let mut held_by_all = None;
        while !fleet.in_force.contains_key(&revision) || held_by_all.is_none() {
            fleet.run(MILLI);
            let holds = |vm: &fleet::Vm| vm.machine.edition().number >= revision;
            if held_by_all.is_none() && fleet.vms.iter().all(holds) {
                held_by_all = Some(fleet.now.saturating_sub(start));
            }
        }
        held.extend(held_by_all);
        reported.push(fleet.in_force[&revision].saturating_sub(start));
    }
    println!(
        "| {size} | {loss} | {} | {} |",
        percentiles(held),
        percentiles(reported)
    );
}

fn percentiles(mut durations: Vec<Duration>) -> String {
    durations.sort();
    let at = |percent: usize| {
        let rank = (durations.len() * percent).div_ceil(100);
        durations[rank.max(1) - 1].as_millis()
    };
    format!("{} / {} / {}", at(50), at(99), at(100))
}

fn measure_traffic(size: usize, load: &str, edits: u64, store_down: bool) {
    let seconds: u32 = if size > 100 { 10 } else { 60 };
    let mut fleet = Fleet::settled(size, zones(size), 7);
    fleet.store.down = store_down;
    fleet.run(SECOND * 5);
    for vm in &mut fleet.vms {
        vm.sent = 0;
    }
    fleet.polls = 0;
    let start = Instant::now();
    for step in 0..seconds * 5 {
        if edits > 0 {
            fleet.edit(step as usize % size);
        }
        fleet.run(SECOND / 5);
    }
    let work_micros = start.elapsed().as_micros() / u128::from(seconds) / size as u128;
    let seconds = seconds as usize;
    let sent: Vec<usize> = fleet.vms.iter().map(|vm| vm.sent / seconds).collect();
    let mean = sent.iter().sum::<usize>() / size;
    let max = sent.iter().max().unwrap();
    let polls = fleet.polls / seconds;
    println!("| {size} | {load} | {mean} / {max} | {polls} | {work_micros} |");
}

fn zones(size: usize) -> usize {
    if size > 100 { 18 } else { 4 }
}

/// A fault that lasts one minute. A revision is written after one second if the store is up.
struct Scenario {
    name: &'static str,
    store_down: bool,
    /// VMs without access to the store.
    cut_off: std::ops::Range<usize>,
    /// Whether these VMs are also partitioned from the others.
    split: bool,
}

static SCENARIOS: [Scenario; 5] = [
    Scenario {
        name: "store down",
        store_down: true,
        cut_off: 0..0,
        split: false,
    },
    Scenario {
        name: "2 of 9 cut off from the store",
        store_down: false,
        cut_off: 7..9,
        split: false,
    },
    Scenario {
        name: "2 of 9 cut off from both",
        store_down: false,
        cut_off: 7..9,
        split: true,
    },
    Scenario {
        name: "5 of 9 cut off from both",
        store_down: false,
        cut_off: 4..9,
        split: true,
    },
    Scenario {
        name: "store down, 2 of 9 cut off",
        store_down: true,
        cut_off: 7..9,
        split: true,
    },
];

fn compare_rules(scenario: &Scenario) {
    let mut counts = [[0u64; 2]; 3];
    let mut offered = 0;
    for seed in 0..20 {
        let mut fleet = Fleet::settled(9, 4, seed);
        fleet.bounded = false;
        fleet.store.down = scenario.store_down;
        for index in scenario.cut_off.clone() {
            fleet.vms[index].cut_from_store = true;
            fleet.vms[index].partition = u8::from(scenario.split);
        }
        fleet.run(SECOND);
        let revision = fleet.edit(0).unwrap_or(id::Revision::new(1));
        for _ in 0..60 * REQUEST_RATE {
            fleet.run(SECOND / REQUEST_RATE);
            for index in 0..9 {
                offered += 1;
                let machine = &fleet.vms[index].machine;
                let now = fleet.clock(index);
                let stale = machine.view().revision < revision;
                let serves = [
                    true,
                    machine.is_confirmed_by_store(now),
                    machine.view().confirmed(now),
                ];
                for (serves, [served_stale, refused]) in serves.iter().zip(&mut counts) {
                    *served_stale += u64::from(*serves && stale);
                    *refused += u64::from(!serves);
                }
            }
        }
    }
    let names = ["serve stale", "refuse without the store", "majority"];
    for (name, [stale, refused]) in names.iter().zip(counts) {
        println!(
            "| {} | {name} | {stale} | {refused} | {offered} |",
            scenario.name
        );
    }
}
