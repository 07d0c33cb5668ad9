//! Admission of requests to upstreams.

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
    let chosen = gate.choose(&candidates, &criteria);
    chosen.map(|upstream| upstream.id.clone())
}

proptest! {
    // Guards against a way of choosing, a last resort among them, that goes past what an upstream asked.
    #[test]
    fn an_upstream_that_asked_for_no_requests_is_never_chosen(
        asks in proptest::collection::vec(0_u8..4, 1..8),
        tried in 0_usize..8,
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
            if let Some(chosen) = choose(&register, &balancer, &upstreams, tried) {
                prop_assert_eq!(register.pushback.block(&chosen, now), None);
            }
        }
        let is_any_open = asks.iter().any(|ask| *ask > 1);
        let chosen = choose(&register, &balancer, &upstreams, &[]);
        prop_assert_eq!(chosen.is_some(), is_any_open);
    }
}
