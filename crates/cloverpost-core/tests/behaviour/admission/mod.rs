//! Admission of requests to upstreams.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::admission::Register;
use cloverpost_core::balance::{Balancer, Criteria, Options};
use cloverpost_core::directory::Upstream;
use cloverpost_core::quota::Senders;
use cloverpost_core::{cold, id, throttle, time};
use proptest::prelude::*;

fn upstream(number: usize) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: format!("i-{number}").parse().unwrap(),
        service: service(),
        address: "10.0.0.1:1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: 8,
        born_ms: None,
        cold: Duration::ZERO,
        is_leaving: false,
    })
}

fn service() -> id::Pool {
    "app".parse().unwrap()
}

fn register() -> Register {
    let senders = Senders::new("vm-1".parse().unwrap(), std::iter::empty());
    Register::new(
        cold::Options::default(),
        throttle::Options::default(),
        senders,
    )
}

fn choose(
    register: &Register,
    balancer: &Balancer,
    upstreams: &[Arc<Upstream>],
    tried: &[id::Upstream],
    spread_key: Option<u64>,
) -> Option<id::Upstream> {
    let zone = "a".parse().unwrap();
    let criteria = Criteria {
        zone: &zone,
        affinity: None,
        work: 0.0,
        shared: 0.0,
        tried,
        draw: 1,
    };
    let candidates: Vec<_> = upstreams.iter().collect();
    let gate = register.gate(&service(), balancer, time::Moment::default());
    let chosen = gate.choose(&candidates, &criteria, spread_key);
    chosen.map(|upstream| upstream.id.clone())
}

// Guards against requests that may crash upstreams and all go to the one with the least load.
#[test]
fn requests_that_may_crash_upstreams_are_spread_whatever_the_load() {
    let upstreams: Vec<_> = (0..9).map(upstream).collect();
    let (register, mut balancer) = (register(), Balancer::new(Options::default()));
    for busy in &upstreams[1..] {
        balancer.start(&busy.id, 1.0);
    }
    let chosen = |key| choose(&register, &balancer, &upstreams, &[], key);
    assert_eq!(chosen(None), Some(upstreams[0].id.clone()));
    let spread: BTreeSet<_> = (0..40).filter_map(|key| chosen(Some(key))).collect();
    assert!(spread.len() >= 7, "{spread:?}");
    assert_eq!(chosen(Some(7)), chosen(Some(7)));
}

proptest! {
    // Guards against a way of choosing, a last resort among them, that goes past what an upstream asked.
    #[test]
    fn an_upstream_that_asked_for_no_requests_is_never_chosen(
        asks in proptest::collection::vec(0_u8..4, 1..8),
        tried in 0_usize..8,
        spread_key: Option<u64>,
    ) {
        let upstreams: Vec<_> = (0..asks.len()).map(upstream).collect();
        let (mut register, balancer) = (register(), Balancer::new(Options::default()));
        let now = time::Moment::default();
        for (ask, upstream) in asks.iter().zip(&upstreams) {
            match ask {
                0 => drop(register.pushback.record_leaving(&upstream.id, now)),
                1 => {
                    let rest = Duration::from_secs(3);
                    register.pushback.record_rest(&upstream.id, rest, 0.5, now);
                }
                _ => {}
            }
        }
        let tried: Vec<_> = upstreams.iter().take(tried).map(|one| one.id.clone()).collect();
        for tried in [&tried[..], &[]] {
            if let Some(chosen) = choose(&register, &balancer, &upstreams, tried, spread_key) {
                prop_assert_eq!(register.pushback.block(&chosen, now), None);
            }
        }
        let is_any_open = asks.iter().any(|ask| *ask > 1);
        let chosen = choose(&register, &balancer, &upstreams, &[], spread_key);
        prop_assert_eq!(chosen.is_some(), is_any_open);
    }
}
