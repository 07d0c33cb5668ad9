//! How long a request waits.

use std::time::Duration;

use cloverpost_core::startup::Request;
use proptest::prelude::*;
use rstest::rstest;

use super::at;

const HOUR_MS: u64 = 3_600_000;

fn request(timeout_ms: Option<u64>) -> Request {
    Request {
        timeout: timeout_ms.map(Duration::from_millis),
        is_repeatable: false,
        body_bytes: Some(0),
    }
}

// Guards against requests that are held so long that no time is left to serve them, and against
// timeouts that would hold them for minutes.
#[rstest]
#[case::half_of_the_time(2_000, Some(20_000), Some(12_000))]
#[case::at_least_the_time_to_serve_is_kept(2_000, Some(2_000), Some(2_750))]
#[case::too_short_to_wait(2_000, Some(1_000), None)]
#[case::no_time(2_000, Some(0), None)]
#[case::no_time_at_the_start(0, Some(0), None)]
#[case::longest(2_000, Some(HOUR_MS), Some(17_000))]
#[case::out_of_range(2_000, Some(HOUR_MS + 1), Some(17_000))]
#[case::largest(2_000, Some(u64::MAX), Some(17_000))]
#[case::without_timeout_at_the_start(100, None, Some(500))]
#[case::without_timeout_later(500, None, None)]
#[case::short_at_the_start(100, Some(1_000), Some(500))]
#[case::shortest_at_the_start(100, Some(300), Some(250))]
fn the_wait_leaves_time_to_serve(
    #[case] now_ms: u64,
    #[case] timeout_ms: Option<u64>,
    #[case] until_ms: Option<u64>,
) {
    assert_eq!(request(timeout_ms).wait_until(at(now_ms)), until_ms.map(at));
}

#[rstest]
#[case::no_body(Some(0), 32)]
#[case::short_body(Some(2_048), 34)]
#[case::long_body(Some(u64::MAX), 96)]
#[case::undeclared(None, 96)]
fn the_estimate_covers_what_is_buffered(#[case] body_bytes: Option<u64>, #[case] kib: u64) {
    let one = Request {
        body_bytes,
        ..request(None)
    };
    assert_eq!(one.bytes(), kib * 1024);
}

proptest! {
    #[test]
    fn no_request_waits_longer_than_half_of_its_time(
        now_ms in 0_u64..100_000,
        timeout_ms in 0..=HOUR_MS,
    ) {
        let until = request(Some(timeout_ms)).wait_until(at(now_ms));
        let waited = until.map_or(Duration::ZERO, |until| until.since(at(now_ms)));
        prop_assert!(waited <= Duration::from_millis(timeout_ms) / 2);
        prop_assert!(waited <= Duration::from_secs(15));
    }
}
