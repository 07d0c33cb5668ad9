//! Tests of outcomes as rollout evidence.

use cloverpost_core::exposure::Outcome;
use rstest::rstest;

#[rstest]
#[case(Outcome::Good, true, Some(true))]
#[case(Outcome::Slow, false, Some(true))]
#[case(Outcome::Failed, false, Some(false))]
// Guards against reverting a version whose connections are reset for lack of capacity.
#[case(Outcome::Unanswered, false, None)]
fn only_what_the_upstream_caused_counts_as_a_failure(
    #[case] outcome: Outcome,
    #[case] is_good: bool,
    #[case] succeeded: Option<bool>,
) {
    assert_eq!(outcome.is_good(), is_good);
    assert_eq!(outcome.succeeded(true), succeeded);
    // Guards against a revert by one request that fails on every version and is sent again.
    assert_eq!(outcome.succeeded(false), None);
}
