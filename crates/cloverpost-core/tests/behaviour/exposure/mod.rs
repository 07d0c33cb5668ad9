//! Tests of the traffic share of a new version.

mod comparison;
mod order_age;
mod outcome;

use std::collections::VecDeque;
use std::time::Duration;

use cloverpost_core::directory::{Member, Rollout, Size, Version};
use cloverpost_core::exposure::{
    Allowance, Pins, Sessions, Stage, Tally, aggregators, completion_delay, stage, write_delay,
};
use cloverpost_core::{exposure, id, time};
use rstest::rstest;

/// Maximum time between requests of a session.
const GAP: Duration = Duration::from_secs(5);

fn rollout() -> Rollout {
    Rollout {
        base: None,
        order: Version::new(7),
        target: "v2".parse().unwrap(),
        started_ms: 50_000,
        ordered_ms: 50_000,
        duration_ms: 20_000,
    }
}

const ALLOWED: Allowance = Allowance {
    share: 0.15,
    slack: 0.0,
};

fn at(now_ms: u64) -> Stage {
    stage(&rollout(), now_ms, ALLOWED, GAP)
}

/// Requests sent by one VM to a service during a rollout.
struct Traffic {
    rollout: Rollout,
    allowance: Allowance,
    gap: Duration,
    /// Requests per step of 10 ms, by elapsed fraction of the duration.
    rate: fn(progress: f64) -> u32,
    /// Duration of a request in steps.
    duration_steps: usize,
}

/// Requests routed to the new version until the deadline.
struct Exposure {
    tally: Tally,
    /// Share at each step.
    shares: Vec<f64>,
}

impl Traffic {
    fn of(duration_ms: u64, gap_ms: u64, share: f64) -> Self {
        Self {
            rollout: Rollout {
                duration_ms,
                ..rollout()
            },
            allowance: Allowance { share, slack: 0.0 },
            gap: Duration::from_millis(gap_ms),
            rate: |_| 10,
            duration_steps: 1,
        }
    }

    /// Sends requests until 150 ms before the deadline, the delay with which a VM learns
    /// of the order. The old version stops 500 ms before the deadline, and its open
    /// requests are resumed on the new one.
    fn run(&self) -> Exposure {
        let steps = (self.rollout.duration_ms - 150) / 10;
        let stop = steps - 35;
        let mut exposure = Exposure {
            tally: Tally::default(),
            shares: Vec::new(),
        };
        let mut open_on_old = VecDeque::from(vec![0; self.duration_steps]);
        let mut pending = 0.0;
        for step in 0..steps {
            #[allow(clippy::cast_precision_loss)]
            let rate = (self.rate)(step as f64 / steps as f64);
            let now_ms = self.rollout.started_ms + step * 10;
            let stage = stage(&self.rollout, now_ms, self.allowance, self.gap);
            let share = if step < stop {
                stage.share(&exposure.tally)
            } else {
                1.0
            };
            if step == stop {
                pending += f64::from(exposure.tally.open_old);
                open_on_old = VecDeque::from(vec![0; self.duration_steps]);
            }
            pending += share * f64::from(rate);
            let mut new = 0;
            while pending >= 1.0 {
                pending -= 1.0;
                new += 1;
            }
            exposure.tally.all += rate;
            exposure.tally.new += new;
            open_on_old.pop_front();
            open_on_old.push_back(rate.saturating_sub(new));
            exposure.tally.open_old = open_on_old.iter().sum();
            exposure.shares.push(share);
        }
        exposure
    }
}

impl Exposure {
    fn exposed(&self) -> f64 {
        f64::from(self.tally.new) / f64::from(self.tally.all)
    }
}

#[rstest]
#[case::before_the_start(0)]
#[case::at_the_start(50_000)]
#[case::before_the_end_of_the_gap(54_900)]
fn the_share_is_zero_while_sessions_are_pinned(#[case] now_ms: u64) {
    let stage = at(now_ms);
    assert!(
        stage.share(&Tally::default()).abs() < f64::EPSILON,
        "{stage:?}"
    );
    assert!(stage.is_pinning);
}

// Guards against restarted VMs, which have lost their counts, switching to full traffic.
#[rstest]
#[case::just_after_half_of_the_duration(60_100)]
#[case::towards_the_end(67_000)]
fn a_vm_without_requests_keeps_the_first_stage_share(#[case] now_ms: u64) {
    let share = at(now_ms).share(&Tally::default());
    assert!(share < ALLOWED.share, "{share}");
}

#[rstest]
#[case::at_the_order(50_000, 30.0)]
#[case::after_the_order(50_001, 0.0)]
fn a_process_started_after_the_order_has_no_slack(#[case] since_ms: u64, #[case] slack: f64) {
    let allowance = Allowance {
        slack: 30.0,
        ..ALLOWED
    };
    let left = allowance.for_process(since_ms, &rollout()).slack;
    assert!((left - slack).abs() < f64::EPSILON, "{left}");
}

#[rstest]
#[case::after_the_gap(55_100)]
#[case::at_half_of_the_duration(59_900)]
#[case::towards_the_end(67_000)]
fn the_first_stage_keeps_a_small_share(#[case] now_ms: u64) {
    let stage = at(now_ms);
    let tally = Tally {
        all: 1_000,
        new: 50,
        open_old: 0,
    };
    let share = stage.share(&tally);
    assert!((0.04..=0.15).contains(&share), "{stage:?}");
    assert!(!stage.is_pinning);
    assert!(!stage.may_complete());
}

#[test]
fn the_share_never_decreases() {
    let exposure = Traffic::of(20_000, 5_000, 0.15).run();
    assert!(exposure.shares.is_sorted());
    assert!((exposure.shares.last().unwrap() - 1.0).abs() < f64::EPSILON);
}

#[rstest]
#[case::default_settings(16_000, 5_000, 0.15)]
#[case::a_long_rollout(24_000, 5_000, 0.15)]
#[case::a_small_share(24_000, 8_500, 0.0975)]
#[case::long_session_gaps(12_000, 8_500, 0.0975)]
fn exposure_of_an_undetected_bad_version_stays_within_the_allowance(
    #[case] duration_ms: u64,
    #[case] gap_ms: u64,
    #[case] allowed: f64,
) {
    // The version fails only under a load that never occurs, so it is never halted.
    let exposed = Traffic::of(duration_ms, gap_ms, allowed).run().exposed();
    assert!(exposed <= allowed, "{exposed}");
}

#[test]
fn resumed_streams_count_towards_the_allowance() {
    // Streams last 0.6 s and are resumed on the new version when the old upstreams stop.
    let traffic = Traffic {
        duration_steps: 60,
        ..Traffic::of(16_000, 5_000, 0.15)
    };
    let exposed = traffic.run().exposed();
    assert!(exposed <= 0.15, "{exposed}");
}

#[test]
fn a_burst_before_the_deadline_counts_towards_the_allowance() {
    // Traffic doubles in the last tenth of the rollout, during the full-traffic stage.
    let traffic = Traffic {
        rate: |progress| if progress > 0.9 { 20 } else { 10 },
        ..Traffic::of(16_000, 5_000, 0.15)
    };
    let exposed = traffic.run().exposed();
    assert!(exposed <= 0.15, "{exposed}");
}

#[test]
fn slack_lengthens_the_full_traffic_stage() {
    let plain = Traffic::of(16_000, 5_000, 0.15);
    let generous = Traffic {
        allowance: Allowance {
            slack: 800.0,
            ..plain.allowance
        },
        ..Traffic::of(16_000, 5_000, 0.15)
    };
    let full_traffic_steps = |traffic: &Traffic| {
        let exposure = traffic.run();
        exposure.shares.iter().filter(|share| **share > 0.9).count()
    };
    assert!(full_traffic_steps(&generous) >= full_traffic_steps(&plain) + 70);
}

#[rstest]
#[case::a_long_rollout(24_000, 0.15)]
#[case::a_short_rollout(12_000, 0.0975)]
fn completion_is_possible_before_the_deadline(#[case] duration_ms: u64, #[case] allowed: f64) {
    let rollout = Rollout {
        duration_ms,
        ..rollout()
    };
    let gap = Duration::from_millis(8_500);
    let allowance = Allowance {
        share: allowed,
        slack: 0.0,
    };
    let stage = |part: u64| stage(&rollout, 50_000 + duration_ms * part / 1000, allowance, gap);
    assert!(!stage(900).may_complete());
    assert!(stage(982).may_complete());
}

#[test]
fn the_full_traffic_stage_is_long_enough_for_evidence() {
    // Evidence is sent every 250 ms. Failures that occur only under full load must be
    // known before the rollout is marked complete.
    let exposure = Traffic::of(20_000, 5_000, 0.15).run();
    let steps = (0..).zip(&exposure.shares);
    let full_traffic_steps =
        steps.filter(|(step, share)| **share > 0.9 && !at(50_000 + step * 10).may_complete());
    assert!(full_traffic_steps.count() >= 90);
}

#[test]
fn a_session_pinned_by_one_vm_is_pinned_by_all() {
    // Requests of a session may arrive at another VM after the rollout has begun.
    let rollout = ("app".parse().unwrap(), Version::new(7));
    let (mut one, mut aggregator, mut other) = (Pins::default(), Pins::default(), Pins::default());
    one.pin(&rollout, 11);
    aggregator.merge(&rollout, &one.take_unsent(&rollout));
    other.merge(&rollout, &aggregator.take_unsent(&rollout));
    assert!(other.is_pinned(&rollout, 11));
    assert!(!other.is_pinned(&rollout, 12));
    assert!(one.take_unsent(&rollout).is_empty());
}

#[test]
fn pins_of_an_earlier_rollout_are_ignored() {
    let rollout = |order| ("app".parse().unwrap(), Version::new(order));
    let mut pins = Pins::default();
    pins.pin(&rollout(7), 11);
    assert!(!pins.is_pinned(&rollout(9), 11));
    pins.retain(|(_, order)| *order == Version::new(9));
    assert!(!pins.is_pinned(&rollout(7), 11));
}

/// Returns `count` VMs of the same size.
fn vms(count: usize) -> Vec<Member> {
    let vm = |one: usize| Member {
        vm: format!("vm-{one}").parse().unwrap(),
        zone: "a".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        size: Size::default(),
    };
    (0..count).map(vm).collect()
}

#[test]
fn aggregators_are_among_the_largest_vms() {
    // Guards against small VMs that learn of changes late since all VMs send them evidence.
    let mut vms = vms(295);
    for vm in vms.iter_mut().step_by(50) {
        vm.size.core_percent = 50;
    }
    let found = aggregators(&"app".parse().unwrap(), vms.iter());
    let is_large = |name: &&id::Vm| vms.iter().step_by(50).any(|vm| vm.vm == **name);
    assert_eq!(found.iter().filter(|name| is_large(name)).count(), 3);
}

#[rstest]
#[case::a_small_fleet(9, 300)]
#[case::hundreds_of_vms(295, 1_000)]
#[case::the_largest_fleet(630, 1_000)]
fn an_aggregator_receives_a_bounded_number_of_messages(#[case] vms: u32, #[case] allowed: u32) {
    // Guards against evidence of all VMs that takes up the processor of the VM that receives it.
    let rounds = |interval: Duration| 1.0 / interval.as_secs_f64();
    let counts = 3.0 * f64::from(vms) * rounds(exposure::counts_interval(vms));
    let pins = f64::from(vms) * rounds(exposure::pins_interval(vms));
    assert!(
        counts <= f64::from(allowed) + 1.0,
        "{counts} counts a second"
    );
    assert!(pins <= f64::from(allowed) + 1.0, "{pins} pins a second");
}

#[test]
fn aggregators_do_not_depend_on_the_member_order() {
    let names = vms(9);
    let service = "app".parse().unwrap();
    let found = aggregators(&service, names.iter());
    assert_eq!(found.len(), 3);
    assert_eq!(aggregators(&service, names.iter().rev()), found);
}

#[test]
fn write_delays_stagger_the_vms() {
    // Guards against all VMs writing the same state at once, which the store would
    // throttle.
    let names = vms(300);
    let service = "app".parse().unwrap();
    let aggregators = aggregators(&service, names.iter());
    let delay_of = |own| write_delay(&service, names.iter(), own);
    let by = |millis| {
        let limit = Duration::from_millis(millis);
        names.iter().filter(|own| delay_of(own) <= limit).count()
    };
    assert_eq!((by(0), by(500), by(600), by(800)), (1, 3, 7, 15));
    assert_eq!(by(2_000), 300, "all VMs write if no other has");
    let first = names.iter().find(|one| one.vm == *aggregators[0]);
    assert_eq!(delay_of(first.unwrap()), Duration::ZERO);
}

#[test]
fn a_session_version_expires_after_the_session_gap() {
    let mut sessions = Sessions::default();
    let version: id::Version = "v1".parse().unwrap();
    let max_age = Duration::from_secs(5);
    sessions.record(7, &version, time::Moment::from_millis(1_000));
    let at = |millis| sessions.version(7, time::Moment::from_millis(millis), max_age);
    assert_eq!(at(5_000), Some(&version));
    assert_eq!(at(6_001), None);
}

#[test]
fn session_memory_is_bounded() {
    // The cache must neither grow without bound nor evict the most recent sessions.
    let mut sessions = Sessions::default();
    let version: id::Version = "v1".parse().unwrap();
    for number in 0..100_000 {
        sessions.record(number, &version, time::Moment::from_millis(number));
    }
    let max_age = Duration::from_secs(100_000);
    let now = time::Moment::from_millis(100_000);
    let known = (0..100_000).filter(|one| sessions.version(*one, now, max_age).is_some());
    let known: Vec<_> = known.collect();
    assert!(known.len() <= 4096, "{}", known.len());
    assert!(known.contains(&99_999));
}

#[test]
fn a_late_start_does_not_delay_the_deadline() {
    // The deadline counts from the order, also if the rollout starts later because the
    // first aggregators are down. Sessions are pinned from the start.
    let late = Rollout {
        started_ms: 50_700,
        ..rollout()
    };
    let at = |now_ms| stage(&late, now_ms, ALLOWED, GAP);
    assert!(!at(69_000).may_complete());
    assert!(at(69_300).may_complete());
    assert!(at(55_650).is_pinning);
    assert!(!at(55_700).is_pinning);
}

#[test]
fn aggregators_complete_a_rollout_without_delay() {
    // The store may reject the first two aggregators; the third must write at once to meet the
    // deadline.
    let service = "app".parse().unwrap();
    let vms = vms(66);
    let aggregators = aggregators(&service, vms.iter());
    for vm in &vms {
        let delay = completion_delay(&service, vms.iter(), vm);
        assert_eq!(delay.is_zero(), aggregators.contains(&&vm.vm), "{}", vm.vm);
    }
}
