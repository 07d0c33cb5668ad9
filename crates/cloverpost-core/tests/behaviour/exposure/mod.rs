//! How much of the traffic a new version gets.

use std::time::Duration;

use cloverpost_core::directory::Rollout;
use cloverpost_core::exposure::{Sessions, stage};
use cloverpost_core::{id, time};
use rstest::rstest;

fn rollout() -> Rollout {
    Rollout {
        target: "v2".parse().unwrap(),
        started_ms: 50_000,
        duration_ms: 20_000,
    }
}

#[rstest]
#[case::before_its_start(0)]
#[case::at_its_start(50_000)]
#[case::at_half_of_its_time(60_000)]
fn the_first_half_keeps_below_the_allowed_share(#[case] now_ms: u64) {
    let stage = stage(&rollout(), now_ms, 0.15);
    assert!(stage.share > 0.05 && stage.share < 0.15, "{stage:?}");
    assert!(stage.is_pinned);
    assert!(!stage.may_complete);
}

#[test]
fn the_share_only_rises() {
    let shares: Vec<_> = (0..300)
        .map(|step| stage(&rollout(), 50_000 + step * 100, 0.15).share)
        .collect();
    assert!(shares.is_sorted());
    assert!((shares[299] - 1.0).abs() < f64::EPSILON);
}

#[test]
fn it_may_be_complete_well_before_its_time_is_over() {
    assert!(stage(&rollout(), 67_000, 0.15).may_complete);
}

#[test]
fn a_session_is_remembered_for_as_long_as_its_requests_may_follow() {
    let mut sessions = Sessions::default();
    let version: id::Version = "v1".parse().unwrap();
    let span = Duration::from_secs(5);
    sessions.note(7, &version, time::Moment::from_millis(1_000));
    let at = |millis| sessions.version(7, time::Moment::from_millis(millis), span);
    assert_eq!(at(5_000), Some(&version));
    assert_eq!(at(6_001), None);
}

#[test]
fn many_sessions_take_bounded_memory() {
    // Sessions come and go for days; what is remembered of them must not grow, and the
    // ones that are still open must not be forgotten for those that are over.
    let mut sessions = Sessions::default();
    let version: id::Version = "v1".parse().unwrap();
    for number in 0..100_000 {
        sessions.note(number, &version, time::Moment::from_millis(number));
    }
    let span = Duration::from_secs(100_000);
    let now = time::Moment::from_millis(100_000);
    let known = (0..100_000).filter(|one| sessions.version(*one, now, span).is_some());
    let known: Vec<_> = known.collect();
    assert!(known.len() <= 4096, "{}", known.len());
    assert!(known.contains(&99_999));
}
