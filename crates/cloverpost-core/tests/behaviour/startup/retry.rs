//! When refused callers may retry.

use std::time::Duration;

use cloverpost_core::startup::retry_after;
use rstest::rstest;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// Guards against refused callers that return all at once, and against delays that callers with little
// time do not wait for.
#[rstest]
#[case::without_timeout(None, 600)]
#[case::much_time(Some(20_000), 3_000)]
#[case::a_third(Some(3_000), 1_000)]
#[case::little_time(Some(300), 200)]
#[case::no_time(Some(0), 200)]
fn delays_are_spread_over_what_callers_wait_for(#[case] left_ms: Option<u64>, #[case] max: u64) {
    let left = left_ms.map(millis);
    assert_eq!(retry_after(left, 0.0), millis(200));
    assert_eq!(retry_after(left, 1.0), millis(max));
    assert_eq!(retry_after(left, 0.5), millis(u64::midpoint(200, max)));
}
