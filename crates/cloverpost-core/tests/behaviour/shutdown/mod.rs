//! Requests beside the planned end of a VM.

use std::time::Duration;

use cloverpost_core::id;
use cloverpost_core::shutdown::{Durations, End};
use cloverpost_core::time::Moment;
use proptest::prelude::*;

const MAX_MS: u64 = 20_000;

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
            let estimate = durations.upper_estimate(&route);
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
    assert_eq!(durations.upper_estimate(&"other".parse().unwrap()), None);
    assert_eq!(
        durations.upper_estimate(&"r".parse().unwrap()),
        Some(millis(300))
    );
}
