//! Upstream load caused by other VMs.

use cloverpost_core::balance::{Aggregator, Digest, PeerLoads, Row};
use cloverpost_core::{id, time};

fn digest(rows: &[(&str, f32, u32)]) -> Digest {
    let rows = rows.iter().map(|(upstream, pending, in_flight)| Row {
        upstream: upstream.parse().unwrap(),
        pending: *pending,
        in_flight: *in_flight,
        ratios: None,
    });
    Digest {
        rows: rows.collect(),
    }
}

fn vm(name: &str) -> id::Vm {
    name.parse().unwrap()
}

fn at(millis: u64) -> time::Moment {
    time::Moment::from_millis(millis)
}

#[test]
fn peer_load_excludes_own_load() {
    let mut aggregator = Aggregator::default();
    aggregator.insert(vm("vm-1"), digest(&[("i-1", 0.5, 2)]), at(0));
    aggregator.insert(
        vm("vm-2"),
        digest(&[("i-1", 0.25, 1), ("i-2", 1.0, 1)]),
        at(0),
    );
    let own = digest(&[("i-2", 0.5, 3)]);
    let total = aggregator.total(&own);
    let mut peers = PeerLoads::default();
    peers.set(&total, &digest(&[("i-1", 0.5, 2)]), at(10));
    assert_eq!(peers.load(&"i-1".parse().unwrap(), at(20)), (0.25, 1));
    assert_eq!(peers.load(&"i-2".parse().unwrap(), at(20)), (1.5, 4));
}

#[test]
fn stale_peer_loads_are_ignored() {
    // After the aggregating VM fails, its last total must not keep requests away from idle
    // upstreams.
    let mut peers = PeerLoads::default();
    peers.set(&digest(&[("i-1", 9.0, 9)]), &Digest::default(), at(0));
    assert_eq!(peers.load(&"i-1".parse().unwrap(), at(1_000)), (0.0, 0));
    assert!(peers.is_stale(at(1_000)));
}

#[test]
fn expired_reports_are_excluded_from_the_total() {
    let mut aggregator = Aggregator::default();
    aggregator.insert(vm("vm-1"), digest(&[("i-1", 0.5, 2)]), at(0));
    assert!(aggregator.has_reports(at(500)));
    aggregator.insert(vm("vm-2"), digest(&[("i-1", 0.25, 1)]), at(900));
    assert!(aggregator.has_reports(at(1_100)));
    assert_eq!(
        aggregator.total(&Digest::default()),
        digest(&[("i-1", 0.25, 1)])
    );
    assert!(!aggregator.has_reports(at(2_000)));
}
