//! Attempts and retries of a request, and the refusal returned to the caller.

use cloverpost_core::dispatch::{Dispatch, Failure, Next, Options};
use cloverpost_core::refusal::Ran;
use cloverpost_core::time::Moment;
use proptest::prelude::*;
use proptest::test_runner;
use rstest::rstest;

const ALL: [Failure; 11] = [
    Failure::NotSent,
    Failure::NotStarted,
    Failure::ConnectionLost,
    Failure::PathLost,
    Failure::TimedOut,
    Failure::Failed,
    Failure::Mismatched,
    Failure::BadStatus,
    Failure::Truncated,
    Failure::Malformed,
    Failure::Stalled,
];

fn dispatch(idempotent: bool) -> Dispatch {
    Dispatch::new(Options {
        idempotent,
        max_attempts: 3,
        max_runs: 3,
        deadline: Moment::from_millis(1_000),
    })
}

// Guards against running a request that is not idempotent twice.
#[rstest]
#[case::connection_lost(Failure::ConnectionLost, Ran::Unknown)]
#[case::path_lost(Failure::PathLost, Ran::Unknown)]
#[case::timed_out(Failure::TimedOut, Ran::Unknown)]
#[case::failed(Failure::Failed, Ran::Unknown)]
#[case::mismatched(Failure::Mismatched, Ran::Unknown)]
#[case::bad_status(Failure::BadStatus, Ran::Unknown)]
#[case::truncated(Failure::Truncated, Ran::Yes)]
#[case::malformed(Failure::Malformed, Ran::Yes)]
#[case::stalled(Failure::Stalled, Ran::Yes)]
fn a_request_that_may_have_run_is_not_retried(#[case] failure: Failure, #[case] ran: Ran) {
    match dispatch(false).record_failure(failure, Moment::default(), || true) {
        Next::Refuse(refusal) => assert_eq!(refusal.ran, ran),
        Next::Retry => panic!("retried after {failure:?}"),
    }
}

#[rstest]
#[case::not_sent(Failure::NotSent)]
#[case::not_started(Failure::NotStarted)]
fn a_request_that_cannot_have_run_is_retried(#[case] failure: Failure) {
    let next = dispatch(false).record_failure(failure, Moment::default(), || true);
    assert_eq!(next, Next::Retry);
}

#[test]
fn an_exhausted_budget_prevents_a_retry() {
    let next = dispatch(true).record_failure(Failure::ConnectionLost, Moment::default(), || false);
    assert!(matches!(next, Next::Refuse(_)));
}

#[test]
fn no_retry_after_the_deadline() {
    let next = dispatch(true).record_failure(Failure::NotSent, Moment::from_millis(1_000), || true);
    assert!(matches!(next, Next::Refuse(_)));
}

// For any sequence of failures, the refusal reports `no` only if no attempt can have run the
// request, and a request that is not idempotent has at most one attempt that can have run it.
#[test]
fn a_refusal_reports_correctly_whether_the_request_ran() {
    let mut runner = test_runner::TestRunner::deterministic();
    let cases = (any::<bool>(), prop::collection::vec(0..ALL.len(), 1..6));
    runner
        .run(&cases, |(idempotent, picks)| {
            let mut dispatch = dispatch(idempotent);
            let mut possible_runs = 0;
            for pick in picks {
                let failure = ALL[pick];
                possible_runs += u32::from(failure.ran() != Ran::No);
                let next = dispatch.record_failure(failure, Moment::default(), || true);
                prop_assert!(idempotent || possible_runs <= 1);
                if let Next::Refuse(refusal) = next {
                    prop_assert_eq!(refusal.ran == Ran::No, possible_runs == 0);
                    break;
                }
            }
            Ok(())
        })
        .expect("holds for every order of failures");
}
