//! Valid and impossible samples of speeds.

use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::balance::{
    Aggregator, Balancer, Criteria, Digest, Options, PeerLoads, Ratios, Row,
};
use cloverpost_core::{directory, id, time};
use proptest::prelude::*;

const BOUNDS: std::ops::RangeInclusive<f64> = 0.3..=2.1;

fn learning() -> Balancer {
    Balancer::new(Options {
        learn_speed: true,
        ..Options::default()
    })
}

fn upstreams() -> Vec<Arc<directory::Upstream>> {
    let upstream = |number| super::super::upstream(&format!("i-{number}"), "a");
    (0..3).map(upstream).collect()
}

fn at(millis: u64) -> time::Moment {
    time::Moment::from_millis(millis)
}

fn speeds(balancer: &Balancer, now: time::Moment) -> Vec<f64> {
    let upstreams = upstreams();
    let pool: Vec<_> = upstreams.iter().collect();
    let speeds = balancer.speeds(&pool, now).into_iter();
    speeds.map(|(_, speed)| speed).collect()
}

/// Fraction of 200 requests that each upstream is chosen for.
fn shares(balancer: &Balancer, now: time::Moment) -> Vec<f64> {
    let upstreams = upstreams();
    let zone = "a".parse().unwrap();
    let mut shares = vec![0.0; upstreams.len()];
    for draw in 0..200 {
        let criteria = Criteria {
            zone: &zone,
            affinity: None,
            work: 0.2,
            shared: 0.0,
            tried: &[],
            draw,
        };
        let chosen = balancer.choose(upstreams.iter(), &criteria, now).unwrap();
        let number = upstreams.iter().position(|one| one.id == chosen.id);
        shares[number.unwrap()] += 1.0 / 200.0;
    }
    shares
}

/// Records `count` responses of each upstream that took `took` times what was expected.
fn record(balancer: &mut Balancer, took: [f64; 3], count: u32, now: time::Moment) {
    for (upstream, took) in upstreams().iter().zip(took) {
        for _ in 0..count {
            balancer.record_speed(&upstream.id, took * 0.2, 0.2, now);
        }
    }
}

#[test]
fn a_faster_upstream_is_told_from_its_pool() {
    // All are slower than expected, which says nothing of one of them.
    let mut balancer = learning();
    record(&mut balancer, [2.0, 2.0, 2.0 / 1.3], 60, at(1_000));
    let speeds = speeds(&balancer, at(1_000));
    assert!((speeds[0] - 1.0).abs() < 0.01, "{speeds:?}");
    assert!((1.2..1.31).contains(&speeds[2]), "{speeds:?}");
    let shares = shares(&balancer, at(1_000));
    assert!(shares[2] > shares[0] && shares[2] > shares[1], "{shares:?}");
}

#[test]
fn few_and_old_samples_count_little() {
    // One slow response must not keep requests away from an upstream for longer than seconds.
    let mut balancer = learning();
    record(&mut balancer, [1.0, 1.0, 4.0], 1, at(1_000));
    assert!(speeds(&balancer, at(1_000))[2] > 0.8);
    record(&mut balancer, [1.0, 1.0, 4.0], 30, at(1_000));
    assert!(speeds(&balancer, at(1_000))[2] < 0.4);
    assert!(speeds(&balancer, at(41_000))[2] > 0.8);
}

#[test]
fn samples_change_nothing_unless_speeds_are_learnt() {
    // Deployments without the setting keep their choice and their messages.
    let mut balancer = Balancer::new(Options::default());
    record(&mut balancer, [1.0, 1.0, 4.0], 30, at(1_000));
    assert!(speeds(&balancer, at(1_000)).is_empty());
    assert_eq!(balancer.digest(at(1_000)), Digest::default());
    assert!(
        shares(&balancer, at(1_000))
            .iter()
            .all(|share| *share > 0.2)
    );
}

#[test]
fn a_restart_forgets_what_the_vm_measured() {
    // The former process may have been slow.
    let mut balancer = learning();
    record(&mut balancer, [1.0, 1.0, 4.0], 30, at(1_000));
    balancer.restart(&"i-2".parse().unwrap());
    assert!((speeds(&balancer, at(1_000))[2] - 1.0).abs() < 0.01);
}

#[test]
fn samples_of_other_vms_count_once() {
    // A VM's own samples are in the total too; counted twice, they would outweigh those of others.
    let upstream: id::Upstream = "i-0".parse().unwrap();
    let digest = |log_sum, samples| Digest {
        rows: vec![Row {
            upstream: upstream.clone(),
            pending: 0.0,
            in_flight: 0,
            ratios: Some(Ratios { log_sum, samples }),
        }],
    };
    let mut aggregator = Aggregator::default();
    aggregator.insert("vm-1".parse().unwrap(), digest(0.5, 2.0), at(0));
    aggregator.insert("vm-2".parse().unwrap(), digest(-0.25, 3.0), at(0));
    let total = aggregator.total(&digest(1.0, 4.0));
    assert_eq!(total, digest(1.25, 9.0));
    let mut peers = PeerLoads::default();
    peers.set(&total, &digest(0.5, 2.0), at(0));
    let others = Ratios {
        log_sum: 0.75,
        samples: 7.0,
    };
    assert_eq!(peers.ratios(&upstream, at(10)), others);
    // Without an aggregator, a VM goes by its own samples.
    assert_eq!(peers.ratios(&upstream, at(1_000)), Ratios::NONE);
}

#[test]
fn idle_upstreams_have_rows_while_they_have_samples() {
    // Rows of upstreams that no VM uses any longer would stay for ever.
    let mut balancer = learning();
    record(&mut balancer, [1.0; 3], 1, at(1_000));
    assert_eq!(balancer.digest(at(1_000)).rows.len(), 3);
    assert_eq!(balancer.digest(at(60_000)), Digest::default());
}

fn any_value() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(0.0),
        Just(-1.0),
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(f64::NEG_INFINITY),
        Just(f64::MAX),
        Just(f64::MIN_POSITIVE),
        0.0..10.0,
    ]
}

fn any_ratios() -> impl Strategy<Value = Option<Ratios>> {
    #[allow(clippy::cast_possible_truncation)] // infinite if it does not fit, which is wanted
    let ratios = (any_value(), any_value()).prop_map(|(log_sum, samples)| Ratios {
        log_sum: log_sum as f32,
        samples: samples as f32,
    });
    proptest::option::of(ratios)
}

proptest! {
    /// No measurement and no message makes a speed that is not a number or out of bounds, or takes all
    /// upstreams out of the choice.
    #[test]
    fn impossible_values_are_bounded(
        samples in proptest::collection::vec((0_usize..3, any_value(), any_value()), 0..40),
        total in proptest::array::uniform3(any_ratios()),
        own in proptest::array::uniform3(any_ratios()),
    ) {
        let mut balancer = learning();
        let mut now = at(1_000);
        for (number, took, expected) in samples {
            balancer.record_speed(&upstreams()[number].id, took, expected, now);
            now = now + Duration::from_millis(30);
        }
        let digest = |ratios: [Option<Ratios>; 3]| Digest {
            rows: upstreams().iter().zip(ratios).map(|(upstream, ratios)| Row {
                upstream: upstream.id.clone(),
                pending: 0.0,
                in_flight: 0,
                ratios,
            }).collect(),
        };
        let mut aggregator = Aggregator::default();
        aggregator.insert("vm-1".parse().unwrap(), digest(total), now);
        let summed = aggregator.total(&balancer.digest(now));
        // What a VM adds up is possible, whatever it was told.
        prop_assert!(summed.impossible().is_none(), "{summed:?}");
        for total in [&summed, &digest(total)] {
            balancer.set_peer_loads(total, &digest(own), now);
            let speeds = speeds(&balancer, now);
            prop_assert!(speeds.iter().all(|speed| BOUNDS.contains(speed)), "{speeds:?}");
            let sum: f64 = shares(&balancer, now).iter().sum();
            prop_assert!((sum - 1.0).abs() < 1e-6);
        }
    }

    /// Valid samples count alike whatever impossible ones come between.
    #[test]
    fn impossible_samples_are_ignored(impossible in prop_oneof![
        Just(0.0), Just(-1.0), Just(f64::NAN), Just(f64::INFINITY), Just(f64::NEG_INFINITY)
    ]) {
        let mut balancer = learning();
        record(&mut balancer, [1.0, 1.0, 2.0], 20, at(1_000));
        let before = balancer.digest(at(1_000)).rows.len();
        let speeds_before = speeds(&balancer, at(1_000));
        let id = &upstreams()[0].id;
        balancer.record_speed(id, impossible, 0.2, at(1_000));
        balancer.record_speed(id, 0.2, impossible, at(1_000));
        prop_assert_eq!(before, balancer.digest(at(1_000)).rows.len());
        prop_assert_eq!(speeds_before, speeds(&balancer, at(1_000)));
    }
}
