//! Requests beside the planned end of a VM.

use std::time::Duration;

use cloverpost_core::id;
use cloverpost_core::shutdown::{Durations, End};
use cloverpost_core::time::Moment;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const MAX_MS: u64 = 20_000;
/// One in 100 requests.
const RARELY: f64 = 0.01;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

proptest! {
    // Guards against requests that are begun although they cannot end in time, and against refusing those
    // that can.
    #[test]
    fn a_request_is_begun_exactly_if_it_is_answered_in_time(
        end in 0..MAX_MS, now in 0..MAX_MS, duration in 0..MAX_MS, deadline in 0..MAX_MS,
    ) {
        let admits = End::new(Moment::from_millis(end)).admits(
            Moment::from_millis(now), millis(duration), Moment::from_millis(deadline),
        );
        let answered = (now + duration).min(deadline);
        prop_assert_eq!(admits, now < end && answered <= end);
    }

    // Guards against requests that wait for what they need until they can no longer be begun.
    #[test]
    fn a_request_may_wait_until_it_can_no_longer_be_begun(
        end in 0..MAX_MS, now in 0..MAX_MS, duration in 1..MAX_MS, deadline in 0..MAX_MS,
    ) {
        let (now, deadline) = (Moment::from_millis(now), Moment::from_millis(deadline));
        let end = End::new(Moment::from_millis(end));
        match end.time_to_begin(now, millis(duration), deadline) {
            None => prop_assert!(deadline <= end.moment()),
            Some(wait) => {
                prop_assert!(!end.admits(now + wait + millis(1), millis(duration), deadline));
                if !wait.is_zero() {
                    prop_assert!(end.admits(now + wait, millis(duration), deadline));
                }
            }
        }
    }

    // Guards against requests that are begun too late since an estimate follows them too slowly.
    #[test]
    fn nearly_all_requests_of_a_route_take_no_longer_than_estimated(
        usual in 20..2_000_u64, spread in 0..500_u64, shares in prop::collection::vec(0.0..1.0_f64, 200),
    ) {
        let route: id::Entry = "r".parse().unwrap();
        let mut durations = Durations::default();
        let mut longer = 0;
        for (number, share) in shares.into_iter().enumerate() {
            let duration = millis(usual) + millis(spread).mul_f64(share);
            let estimate = durations.upper_estimate(&route, RARELY);
            longer += u32::from(number >= 20 && estimate.is_some_and(|estimate| duration > estimate));
            durations.record(&route, duration);
        }
        prop_assert!(longer <= 9, "{longer} of 180");
    }
}

// Guards against a route that is taken for another one.
#[test]
fn a_route_without_requests_has_no_estimate() {
    let mut durations = Durations::default();
    durations.record(&"r".parse().unwrap(), millis(100));
    assert_eq!(
        durations.upper_estimate(&"other".parse().unwrap(), RARELY),
        None
    );
    let estimate = durations.upper_estimate(&"r".parse().unwrap(), RARELY);
    assert_eq!(estimate.map(|estimate| estimate.as_millis()), Some(265));
}

/// A duration with a median of a second; one in 100 takes longer than 4 s.
fn heavy_tailed(rng: &mut StdRng) -> Duration {
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    Duration::from_secs_f64((normal * 0.596).exp())
}

// Guards against refusing requests that would end in time since a few of their route take long, and
// against beginning many that would not.
#[test]
fn one_in_a_hundred_requests_takes_longer_than_estimated() {
    let route: id::Entry = "r".parse().unwrap();
    let mut rng = StdRng::seed_from_u64(1);
    let (mut longer, mut estimates) = (0, Vec::new());
    for _ in 0..50 {
        let mut durations = Durations::default();
        for number in 0..600 {
            let duration = heavy_tailed(&mut rng);
            if number >= 200 {
                let estimate = durations.upper_estimate(&route, RARELY).unwrap();
                longer += u32::from(duration > estimate);
                estimates.push(estimate);
            }
            durations.record(&route, duration);
        }
    }
    assert!((100..=300).contains(&longer), "{longer} of 20,000");
    estimates.sort_unstable();
    let (median, high) = (estimates[10_000], estimates[18_000]);
    assert!(
        median > millis(3_500) && median < millis(4_600),
        "{median:?}"
    );
    assert!(high < millis(6_500), "{high:?}");
}

// Guards against an estimate of another share than was asked for.
#[test]
fn the_share_that_exceeds_an_estimate_is_the_one_asked_for() {
    let route: id::Entry = "r".parse().unwrap();
    let mut durations = Durations::default();
    for duration in 1..=199 {
        durations.record(&route, millis(duration));
    }
    for (exceeded, estimate) in [(0.01, 198), (0.25, 150), (0.5, 100)] {
        assert_eq!(
            durations.upper_estimate(&route, exceeded),
            Some(millis(estimate))
        );
    }
}

// Guards against an estimate that stays with durations of long ago.
#[test]
fn the_estimate_follows_the_latest_requests() {
    let route: id::Entry = "r".parse().unwrap();
    let mut durations = Durations::default();
    for duration in [4_000, 1_000] {
        for _ in 0..200 {
            durations.record(&route, millis(duration));
        }
    }
    assert_eq!(
        durations.upper_estimate(&route, RARELY),
        Some(millis(1_000))
    );
    for _ in 0..2 {
        durations.record(&route, millis(3_000));
    }
    assert_eq!(
        durations.upper_estimate(&route, RARELY),
        Some(millis(3_000))
    );
}
