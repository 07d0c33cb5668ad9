//! A budget over a sliding window.

use std::time::Duration;

use cloverpost_core::budget::Window;
use cloverpost_core::time;
use proptest::prelude::*;

const LENGTH: Duration = Duration::from_secs(10);

fn at(millis: u64) -> time::Moment {
    time::Moment::from_millis(millis)
}

fn repeats(window: &mut Window, now: time::Moment, wanted: u32) -> u32 {
    (0..wanted).map(|_| u32::from(window.repeat(now))).sum()
}

#[test]
fn what_a_quiet_second_leaves_may_be_used_in_the_next() {
    // A VM with a few requests a second asks a larger model for half of them. They come
    // in clumps; a bucket that holds two repeats turned a quarter of them away.
    let mut window = Window::new(0.8, 2.0, LENGTH);
    for second in 0..9 {
        (0..8).for_each(|_| window.first(at(second * 1_000)));
    }
    assert_eq!(repeats(&mut window, at(9_000), 100), 59);
}

#[test]
fn what_is_older_than_the_window_is_forgotten() {
    let mut window = Window::new(0.8, 1.0, LENGTH);
    (0..100).for_each(|_| window.first(at(0)));
    assert_eq!(repeats(&mut window, at(10_000), 100), 1);
}

#[test]
fn a_smaller_slack_counts_at_once() {
    let mut window = Window::new(0.5, 9.0, LENGTH);
    window.set_slack(2.0);
    assert_eq!(repeats(&mut window, at(0), 100), 2);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    // Whatever comes when, no span of the window's length holds more repeats than the
    // share of the first sends of the span and of a tenth before it, plus the slack.
    #[test]
    fn no_span_holds_more_repeats_than_allowed(events in prop::collection::vec((0_u64..400, any::<bool>()), 1..400)) {
        let mut window = Window::new(0.5, 3.0, LENGTH);
        let mut now = 0;
        let (mut firsts, mut taken) = (Vec::new(), Vec::new());
        for (pause, is_first) in events {
            now += pause;
            if is_first {
                window.first(at(now));
                firsts.push(now);
            } else if window.repeat(at(now)) {
                taken.push(now);
            }
        }
        for end in &taken {
            let within = |times: &[u64], length: u64| times.iter().filter(|one| **one <= *end && *one + length > *end).count();
            let repeats = u32::try_from(within(&taken, 9_000)).unwrap();
            let firsts = u32::try_from(within(&firsts, 10_000)).unwrap();
            prop_assert!(f64::from(repeats) <= f64::from(firsts) * 0.5 + 3.0);
        }
    }
}
