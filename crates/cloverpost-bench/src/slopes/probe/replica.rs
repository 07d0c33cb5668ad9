//! Upstreams on the discovery list of the platform.

use std::time::Duration;

use cloverpost::snapshot;
use cloverpost_core::{choice, time};
use cloverpost_platform::{discovery, vms};

use crate::slopes::{Meter, Quantity, Unit, fixture, meter};

/// Numbers of upstreams on the list.
const LIST_SIZES: &[usize] = &[80, 650, 1300, 2600, 5200];
/// Numbers of upstreams in one pool.
const POOL_SIZES: &[usize] = &[20, 60, 120, 240, 480];
/// Numbers of upstreams for the memory measurement.
const MEMORY_SIZES: &[usize] = &[20_000, 40_000, 60_000, 80_000];
/// Concurrency limit of an upstream.
const CONCURRENCY_LIMIT: u32 = 64;
/// Number of pools.
const POOL_COUNT: usize = 11;

/// Measures the memory of an upstream.
pub fn measure_memory(meter: &mut Meter) {
    let what = "upstream with its load counters";
    meter.record_memory(Unit::Replica, what, "replicas", MEMORY_SIZES, upstream);
}

fn upstream(index: usize) -> snapshot::Upstream {
    let vm = listed_vm(index);
    snapshot::Upstream::new(vm.name, vm.address, vm.zone, CONCURRENCY_LIMIT)
}

fn listed_vm(index: usize) -> vms::Vm {
    vms::Vm {
        name: fixture::vm(index),
        address: fixture::address(index),
        zone: fixture::zone(index),
        role: vms::Role::Upstream(fixture::parse_name(&format!(
            "engines-{}",
            index % POOL_COUNT
        ))),
        state: vms::State::Live,
    }
}

/// Measures parsing the list, publishing a snapshot and choosing an upstream of a pool.
pub fn measure_costs(meter: &mut Meter) {
    for &size in LIST_SIZES {
        parse_list(meter, size);
        publish_snapshot(meter, size);
    }
    for &size in POOL_SIZES {
        choose_upstream(meter, size);
    }
}

fn parse_list(meter: &mut Meter, size: usize) {
    let groups: Vec<_> = (0..size)
        .map(|index| discovery::Group::from(listed_vm(index)))
        .collect();
    let body = serde_json::to_vec(&groups).expect("groups should serialize");
    let cpu = meter.cpu_nanos(|| {
        let groups: Vec<discovery::Group> =
            serde_json::from_slice(&body).expect("groups should parse");
        let vms: Vec<_> = groups.into_iter().map(discovery::Group::into_vm).collect();
        std::hint::black_box(vms);
    });
    let what = "read of the VM list";
    meter.record(Unit::Replica, what, "replicas", Quantity::Cpu, size, cpu);
    let bytes = meter::count_to_f64(body.len());
    meter.record(
        Unit::Replica,
        what,
        "replicas",
        Quantity::Received,
        size,
        bytes,
    );
}

fn publish_snapshot(meter: &mut Meter, size: usize) {
    let shared = snapshot::Shared::default();
    let upstreams: Vec<_> = (0..size).map(upstream).collect();
    shared.update(|snapshot| {
        for (index, upstream) in upstreams.iter().enumerate() {
            let pool = fixture::parse_name(&format!("engines-{}", index % POOL_COUNT));
            let pool = snapshot.upstreams.entry(pool).or_default();
            pool.push(upstream.clone());
        }
    });
    let cpu = meter.cpu_nanos(|| shared.update(|_| ()));
    let what = "publication of a snapshot";
    meter.record(Unit::Replica, what, "replicas", Quantity::Cpu, size, cpu);
}

fn choose_upstream(meter: &mut Meter, size: usize) {
    let pool: Vec<_> = (0..size).map(upstream).collect();
    let now = time::Moment::default() + Duration::from_secs(1);
    for upstream in &pool {
        upstream.load.record_report(choice::Report::new(9, 1, now));
    }
    let options = choice::Options::default();
    let mut rng = fixture::rng();
    for (what, affinity) in [
        ("choice by load, per request", None),
        (
            "choice by prefix, per request",
            Some(choice::Affinity::of(b"prefix")),
        ),
    ] {
        let cpu = meter.cpu_nanos(|| {
            let chosen = choice::choose(
                &pool,
                snapshot::Upstream::accepts_requests,
                affinity,
                &options,
                now,
                &mut rng,
            );
            std::hint::black_box(chosen);
        });
        meter.record(Unit::Replica, what, "pool", Quantity::Cpu, size, cpu);
    }
}
