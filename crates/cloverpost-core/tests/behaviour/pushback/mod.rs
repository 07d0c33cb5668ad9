//! What upstreams ask of a VM.

use std::time::Duration;

use cloverpost_core::directory::View;
use cloverpost_core::pushback::{Block, Register};
use cloverpost_core::{id, time};
use proptest::prelude::*;
use rstest::rstest;

const REST: Duration = Duration::from_secs(3);

fn upstream() -> id::Upstream {
    "i-1".parse().unwrap()
}

fn at(millis: u64) -> time::Moment {
    time::Moment::from_millis(millis)
}

#[test]
fn a_leaving_upstream_is_left_alone_for_good() {
    let mut register = Register::default();
    assert!(register.record_leaving(&upstream(), at(0)));
    assert!(!register.record_leaving(&upstream(), at(10)));
    assert_eq!(
        register.block(&upstream(), at(3_600_000)),
        Some(Block::Leaving)
    );
    assert!(!register.admits(&upstream(), at(3_600_000)));
    assert_eq!(register.time_until_open(&upstream(), at(20)), None);
}

// Guards against an outage of the store in which the registration of a leaving upstream expires and
// returns.
#[test]
fn a_leaving_upstream_that_is_not_listed_for_a_while_is_still_leaving() {
    let mut register = Register::default();
    register.record_leaving(&upstream(), at(0));
    register.retain(&View::default(), at(60_000));
    assert!(register.is_leaving(&upstream()));
    register.retain(&View::default(), at(3_600_000));
    assert!(!register.is_leaving(&upstream()));
}

#[test]
fn another_process_under_the_same_id_is_not_held_to_what_the_first_asked() {
    let mut register = Register::default();
    register.record_leaving(&upstream(), at(0));
    register.record_rest(&upstream(), Duration::from_hours(1), 1.0, at(0));
    register.restart(&upstream());
    assert!(register.admits(&upstream(), at(1)));
}

#[rstest]
#[case::not_extended(0.0, 3_000)]
#[case::extended(1.0, 3_750)]
fn a_rest_lasts_as_long_as_asked_for_or_a_little_longer(#[case] draw: f64, #[case] end: u64) {
    let mut register = Register::default();
    assert!(register.record_rest(&upstream(), REST, draw, at(0)));
    assert_eq!(
        register.block(&upstream(), at(end - 1)),
        Some(Block::Resting)
    );
    assert_eq!(register.block(&upstream(), at(end)), None);
    assert!(register.admits(&upstream(), at(end)));
}

// Guards against a later rejection that shortens an earlier rest, or ends it.
#[test]
fn the_latest_end_of_several_rests_counts() {
    let mut register = Register::default();
    register.record_rest(&upstream(), REST, 0.0, at(0));
    assert!(!register.record_rest(&upstream(), Duration::from_millis(100), 0.0, at(500)));
    assert!(!register.record_rest(&upstream(), Duration::ZERO, 0.0, at(600)));
    assert!(!register.admits(&upstream(), at(2_999)));
    register.record_rest(&upstream(), REST, 0.0, at(1_000));
    assert!(!register.admits(&upstream(), at(3_999)));
    assert!(register.admits(&upstream(), at(4_000)));
}

#[rstest]
#[case::none(Duration::ZERO, true)]
#[case::endless(Duration::MAX, false)]
fn extreme_rests_are_taken_as_they_are(#[case] rest: Duration, #[case] admits: bool) {
    let mut register = Register::default();
    register.record_rest(&upstream(), rest, 1.0, at(0));
    assert_eq!(register.admits(&upstream(), at(100_000)), admits);
}

// Guards against all that waited for the end of a rest in one moment.
#[test]
fn requests_return_step_by_step_after_a_rest() {
    let mut register = Register::default();
    register.record_rest(&upstream(), REST, 0.0, at(0));
    let mut sent = Vec::new();
    for now in (2_000..4_100).map(at) {
        if register.admits(&upstream(), now) {
            register.record_send(&upstream(), now);
            sent.push(now);
        }
    }
    let count = |from: u64, to: u64| {
        let within = sent.iter().filter(|now| (at(from)..at(to)).contains(now));
        within.count()
    };
    assert_eq!(count(0, 3_000), 0);
    assert_eq!(count(3_000, 3_200), 1);
    assert_eq!(count(3_200, 3_400), 1);
    assert_eq!(count(3_400, 3_600), 2);
    assert_eq!(count(3_800, 4_000), 8);
    assert_eq!(count(4_000, 4_100), 100);
}

#[test]
fn the_end_of_a_rest_is_reported_once() {
    let mut register = Register::default();
    register.record_rest(&upstream(), REST, 0.0, at(0));
    register.record_rest(&upstream(), REST, 0.0, at(1_000));
    assert_eq!(register.count(Block::Resting, at(3_999)), 1);
    assert_eq!(register.take_ended(at(3_999)), []);
    let lasted = Duration::from_secs(4);
    assert_eq!(register.take_ended(at(4_100)), [(upstream(), lasted)]);
    assert_eq!(register.take_ended(at(4_200)), []);
}

proptest! {
    // Guards against a rest that a sequence of others, sends and restarts cuts short.
    #[test]
    fn no_rest_is_broken(
        rests in proptest::collection::vec((0_u64..20_000, 1_u64..5_000, 0.0..=1.0), 1..20),
    ) {
        let mut rests = rests;
        rests.sort_unstable_by_key(|(from, ..)| *from);
        let mut register = Register::default();
        let mut next = rests.iter().peekable();
        for now in (0..26_000).step_by(7) {
            while let Some((from, length, draw)) = next.next_if(|(from, ..)| *from <= now) {
                register.record_rest(&upstream(), Duration::from_millis(*length), *draw, at(*from));
            }
            let is_resting = rests
                .iter()
                .any(|(from, length, _)| (*from..from + length).contains(&now));
            if is_resting {
                prop_assert!(!register.admits(&upstream(), at(now)), "at {now}");
            }
            if register.admits(&upstream(), at(now)) {
                register.record_send(&upstream(), at(now));
            }
        }
    }
}
