//! Load balancing across upstreams.

mod peers;

use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::balance::{Balancer, Criteria, Event, Options, Speed};
use cloverpost_core::{choice, directory, id, time};

fn upstream(id: &str, zone: &str) -> Arc<directory::Upstream> {
    Arc::new(directory::Upstream {
        id: id.parse().unwrap(),
        service: "app".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: zone.parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: 8,
        born_ms: None,
        cold: Duration::ZERO,
        is_leaving: false,
    })
}

struct Fixture {
    balancer: Balancer,
    upstreams: Vec<Arc<directory::Upstream>>,
    now: time::Moment,
}

impl Fixture {
    fn new(zones: &[&str]) -> Self {
        let upstreams = zones.iter().enumerate();
        let upstreams = upstreams.map(|(number, zone)| upstream(&format!("i-{number}"), zone));
        Self {
            balancer: Balancer::new(Options::default()),
            upstreams: upstreams.collect(),
            now: time::Moment::from_millis(1_000),
        }
    }

    fn choose_for(
        &self,
        affinity: Option<choice::Affinity>,
        tried: &[id::Upstream],
    ) -> Option<String> {
        let zone = "a".parse().unwrap();
        let criteria = Criteria {
            zone: &zone,
            affinity,
            work: 0.2,
            shared: 0.1,
            tried,
            draw: 7,
        };
        let chosen = self
            .balancer
            .choose(self.upstreams.iter(), &criteria, self.now);
        chosen.map(|one| one.id.to_string())
    }

    fn choose(&self) -> String {
        self.choose_for(None, &[]).unwrap()
    }

    fn record(&mut self, number: usize, event: Event) {
        let id = self.upstreams[number].id.clone();
        self.balancer.record(&id, event, self.now);
    }
}

#[test]
fn the_own_zone_is_preferred() {
    assert_eq!(Fixture::new(&["b", "a", "b"]).choose(), "i-1");
}

#[test]
fn a_full_own_zone_overflows_to_another_zone() {
    let mut fixture = Fixture::new(&["a", "b"]);
    let own = fixture.upstreams[0].id.clone();
    for _ in 0..6 {
        fixture.balancer.start(&own, 0.0);
    }
    assert_eq!(fixture.choose(), "i-1");
    (0..6).for_each(|_| fixture.balancer.request_ended(&own));
    assert_eq!(fixture.choose(), "i-0");
}

#[test]
fn pending_prompts_outweigh_running_answers() {
    // A request queued behind a long prompt waits for all of it, unlike one beside running streams.
    let mut fixture = Fixture::new(&["a", "a"]);
    let (long, busy) = (
        fixture.upstreams[0].id.clone(),
        fixture.upstreams[1].id.clone(),
    );
    fixture.balancer.start(&long, 1.2);
    (0..3).for_each(|_| {
        fixture.balancer.start(&busy, 0.1);
        fixture.balancer.response_started(&busy, 0.1);
    });
    assert_eq!(fixture.choose(), "i-1");
    fixture.balancer.response_started(&long, 1.2);
    assert_eq!(fixture.choose(), "i-0");
}

#[test]
fn affinity_yields_to_a_longer_wait() {
    let mut fixture = Fixture::new(&["a", "a", "a", "a"]);
    let affinity = Some(choice::Affinity::of(b"x"));
    let preferred = fixture.choose_for(affinity, &[]).unwrap();
    let id: id::Upstream = preferred.parse().unwrap();
    fixture.balancer.start(&id, 0.01);
    assert_eq!(fixture.choose_for(affinity, &[]).unwrap(), preferred);
    fixture.balancer.start(&id, 0.5);
    assert_ne!(fixture.choose_for(affinity, &[]).unwrap(), preferred);
}

#[test]
fn equal_upstreams_are_chosen_at_random() {
    let fixture = Fixture::new(&["a", "a", "a", "a"]);
    let zone = "a".parse().unwrap();
    let chosen = (0..50).map(|draw| {
        let criteria = Criteria {
            zone: &zone,
            affinity: None,
            work: 0.0,
            shared: 0.0,
            tried: &[],
            draw,
        };
        let chosen = fixture
            .balancer
            .choose(fixture.upstreams.iter(), &criteria, fixture.now);
        chosen.unwrap().id.to_string()
    });
    let chosen: std::collections::BTreeSet<_> = chosen.collect();
    assert_eq!(chosen.len(), 4);
}

#[test]
fn prefill_rate_is_estimated_from_answers() {
    let mut speed = Speed::default();
    let model = "large".parse().unwrap();
    for _ in 0..200 {
        speed.record_prefill(Some(&model), 10_000, 0.05 + 0.2);
    }
    let work = speed.prefill_seconds(Some(&model), 5_000);
    assert!((0.09..0.11).contains(&work), "{work}");
}

#[test]
fn affinity_is_stable() {
    let fixture = Fixture::new(&["a", "a", "a", "a"]);
    for prompt in ["x", "y", "z"] {
        let affinity = Some(choice::Affinity::of(prompt.as_bytes()));
        assert_eq!(
            fixture.choose_for(affinity, &[]),
            fixture.choose_for(affinity, &[])
        );
    }
}

#[test]
fn a_tried_upstream_is_not_chosen_again() {
    let fixture = Fixture::new(&["a", "a"]);
    let tried = ["i-0".parse().unwrap()];
    assert_eq!(fixture.choose_for(None, &tried).as_deref(), Some("i-1"));
    let both = ["i-0".parse().unwrap(), "i-1".parse().unwrap()];
    assert_eq!(fixture.choose_for(None, &both), None);
}

#[test]
fn an_unresponsive_upstream_is_ejected_then_probed() {
    let mut fixture = Fixture::new(&["a", "b"]);
    fixture.record(0, Event::Silent);
    assert_eq!(fixture.choose(), "i-1");
    fixture.now = fixture.now + Duration::from_secs(1);
    assert_eq!(fixture.choose(), "i-0");
    fixture.balancer.start(&"i-0".parse().unwrap(), 0.0);
    assert_eq!(fixture.choose(), "i-1");
}

#[test]
fn a_single_broken_connection_does_not_eject() {
    let mut fixture = Fixture::new(&["a", "b"]);
    fixture.record(0, Event::Broke);
    assert_eq!(fixture.choose(), "i-0");
    fixture.record(0, Event::Broke);
    assert_eq!(fixture.choose(), "i-1");
}

#[test]
fn an_ejected_upstream_is_chosen_if_all_are_ejected() {
    let mut fixture = Fixture::new(&["a", "a"]);
    fixture.record(0, Event::Silent);
    fixture.record(1, Event::Silent);
    assert!(fixture.choose_for(None, &[]).is_some());
}

#[test]
fn a_high_failure_rate_is_penalised() {
    // An upstream with low latency and a failure rate of 40 % must not attract requests.
    let mut fixture = Fixture::new(&["a", "a", "a"]);
    for round in 0..20 {
        for number in 0..3 {
            let failed = number == 0 && round % 5 < 2;
            fixture.record(
                number,
                if failed {
                    Event::Failed
                } else {
                    Event::Succeeded
                },
            );
        }
    }
    for number in 1..3 {
        let id = fixture.upstreams[number].id.clone();
        fixture.balancer.start(&id, 0.05);
    }
    assert_ne!(fixture.choose(), "i-0");
}

#[test]
fn a_high_latency_is_penalised() {
    let mut fixture = Fixture::new(&["a", "a", "a"]);
    for _ in 0..20 {
        for (number, millis) in [(0, 800), (1, 100), (2, 100)] {
            fixture.record(number, Event::Began(Duration::from_millis(millis)));
        }
    }
    for number in 1..3 {
        let id = fixture.upstreams[number].id.clone();
        fixture.balancer.start(&id, 0.05);
    }
    assert_ne!(fixture.choose(), "i-0");
}

#[test]
fn silence_counts_from_the_last_data_on_any_request() {
    let mut fixture = Fixture::new(&["a"]);
    let sent = fixture.now;
    let id = fixture.upstreams[0].id.clone();
    fixture.now = fixture.now + Duration::from_millis(700);
    fixture.record(0, Event::Heard);
    fixture.now = fixture.now + Duration::from_millis(100);
    let silence = fixture.balancer.silence(&id, sent, fixture.now);
    assert_eq!(silence, Duration::from_millis(100));
}

#[test]
fn a_restart_resets_load_and_health() {
    // Load and health of the former process must not count against the new one.
    let mut fixture = Fixture::new(&["a", "a"]);
    let id = "i-0".parse().unwrap();
    fixture.balancer.start(&id, 3.0);
    fixture.record(0, Event::Refused);
    assert_eq!(fixture.balancer.restarts(&id), 0);
    fixture.balancer.restart(&id);
    assert_eq!(fixture.balancer.restarts(&id), 1);
    let upstreams = fixture.upstreams.clone();
    let (used, _) = fixture.balancer.occupancy(upstreams.iter());
    assert_eq!(used, 0);
    fixture.balancer.start(&"i-1".parse().unwrap(), 0.2);
    assert_eq!(fixture.choose(), "i-0");
}

#[test]
fn prefill_rate_converges_after_a_few_answers() {
    // Until the estimate converges, too many long prompts are assigned to one upstream.
    let mut speed = Speed::default();
    let model = "large".parse().unwrap();
    let actual = 0.000_033 * 10_000.0;
    for _ in 0..6 {
        speed.record_prefill(Some(&model), 10_000, 0.05 + actual);
    }
    let estimated = speed.prefill_seconds(Some(&model), 10_000);
    assert!((estimated / actual - 1.0).abs() < 0.3, "{estimated}");
    // A single delayed answer then has little effect.
    for _ in 0..30 {
        speed.record_prefill(Some(&model), 10_000, 0.05 + actual);
    }
    speed.record_prefill(Some(&model), 10_000, 5.0);
    let estimated = speed.prefill_seconds(Some(&model), 10_000);
    assert!(estimated < actual * 1.1, "{estimated}");
}

#[test]
fn decode_rate_converges_after_a_few_answers() {
    let mut speed = Speed::default();
    let small = "small".parse().unwrap();
    for _ in 0..8 {
        speed.record_decode(Some(&small), 400, Duration::from_millis(600));
    }
    let decode_seconds = speed.decode_time(Some(&small), 400).as_secs_f64();
    assert!((0.4..1.2).contains(&decode_seconds), "{decode_seconds}");
    // Short answers are not sampled.
    speed.record_decode(Some(&small), 4, Duration::from_mins(1));
    let after = speed.decode_time(Some(&small), 400).as_secs_f64();
    assert!((after - decode_seconds).abs() < f64::EPSILON);
}

#[test]
fn an_upstream_that_states_the_most_slots_does_not_hide_those_of_others() {
    // Guards against a sum that wraps around, so that a service seems to have hardly any slots.
    let with_slots = |id: &str, slots| {
        Arc::new(directory::Upstream {
            slots,
            ..upstream(id, "a").as_ref().clone()
        })
    };
    let upstreams = [with_slots("i-1", u32::MAX), with_slots("i-2", 8)];
    let balancer = Balancer::new(Options::default());
    let (_, slots) = balancer.occupancy(upstreams.iter());
    assert!(slots >= 8, "{slots}");
}
