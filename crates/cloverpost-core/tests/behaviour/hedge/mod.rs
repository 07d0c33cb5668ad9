//! Attempts of one request that run side by side.

use cloverpost_core::dispatch::{Dispatch, Failure, Options};
use cloverpost_core::hedge::{Conditions, Denial, Hedge, Step};
use cloverpost_core::refusal::Ran;
use cloverpost_core::time::Moment;
use proptest::prelude::*;
use rstest::rstest;

const MAX_RUNS: u32 = 3;

fn dispatch(idempotent: bool) -> Dispatch {
    Dispatch::new(Options {
        idempotent,
        max_attempts: MAX_RUNS + 3,
        max_runs: MAX_RUNS,
        deadline: Moment::from_millis(1_000),
    })
}

const ALL_HOLD: Conditions = Conditions {
    is_quarantined: false,
    is_stopping: false,
    has_body: true,
    has_attempt: true,
    has_retry: true,
};

// Guards against an attempt beside another one for which something is missing.
#[rstest]
#[case(Conditions { is_quarantined: true, ..ALL_HOLD }, Denial::Quarantined)]
#[case(Conditions { is_stopping: true, ..ALL_HOLD }, Denial::Stopping)]
#[case(Conditions { has_body: false, ..ALL_HOLD }, Denial::BodyReleased)]
#[case(Conditions { has_attempt: false, ..ALL_HOLD }, Denial::Exhausted)]
#[case(Conditions { has_retry: false, ..ALL_HOLD }, Denial::Budget)]
fn each_condition_is_needed(#[case] conditions: Conditions, #[case] denial: Denial) {
    assert_eq!(ALL_HOLD.check(), Ok(()));
    assert_eq!(conditions.check(), Err(denial));
}

// Guards against running a request that is not idempotent twice.
#[test]
fn a_request_that_is_not_idempotent_never_runs_beside_itself() {
    assert!(!dispatch(false).may_begin(1, Moment::default()));
    assert!(dispatch(true).may_begin(1, Moment::default()));
}

// Guards against attempts beside others after the deadline.
#[test]
fn no_attempt_begins_after_the_deadline() {
    assert!(!dispatch(true).may_begin(1, Moment::from_millis(1_000)));
}

/// What may happen to a request whose first attempt has been sent.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// All that is in progress is overdue.
    Overdue(Conditions),
    /// The response of an attempt begins.
    Begins,
    /// An attempt fails.
    AttemptFails(Failure),
    /// The run gives the next part of its response.
    GoesOn,
    /// The run breaks off.
    BreaksOff,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let conditions = prop::array::uniform4(prop::bool::weighted(0.8));
    let overdue = conditions.prop_map(|[calm, serving, has_body, has_retry]| {
        Event::Overdue(Conditions {
            is_quarantined: !calm,
            is_stopping: !serving,
            has_body,
            has_retry,
            has_attempt: true,
        })
    });
    let failure = prop_oneof![
        Just(Failure::NotSent),
        Just(Failure::NotStarted),
        Just(Failure::ConnectionLost),
        Just(Failure::Failed),
    ];
    let event = prop_oneof![
        3 => overdue,
        1 => Just(Event::Begins),
        2 => failure.prop_map(Event::AttemptFails),
        1 => Just(Event::GoesOn),
        1 => Just(Event::BreaksOff),
    ];
    prop::collection::vec(event, 1..30)
}

proptest! {
    // Guards against ending a run or an attempt that has time left otherwise than by its own end, or since
    // another one has begun.
    #[test]
    fn what_is_in_progress_ends_by_itself_or_for_one_that_has_begun(events in events()) {
        let now = Moment::default();
        let (mut dispatch, mut hedge) = (dispatch(true), Hedge::default());
        hedge.begin();
        let (mut has_run, mut attempts, mut runs) = (false, 1, 1);
        for event in events {
            match event {
                Event::Overdue(conditions) => {
                    let has_attempt = dispatch.may_begin(hedge.in_progress(), now);
                    if (Conditions { has_attempt, ..conditions }).check().is_ok() {
                        hedge.begin();
                        attempts += 1;
                        runs += 1;
                    }
                }
                Event::Begins if attempts > 0 => {
                    hedge = Hedge::of_run();
                    for _ in 1..attempts + u32::from(has_run) {
                        dispatch.record_discarded();
                    }
                    (has_run, attempts) = (true, 0);
                }
                Event::GoesOn if has_run => {
                    hedge = Hedge::of_run();
                    for _ in 0..attempts {
                        dispatch.record_discarded();
                    }
                    attempts = 0;
                }
                Event::AttemptFails(failure) if attempts > 0 => {
                    attempts -= 1;
                    let is_last = !has_run && attempts == 0;
                    prop_assert_eq!(hedge.attempt_failed() == Step::Retry, is_last);
                    dispatch.record_last_failure(failure);
                    runs -= u32::from(failure.ran() == Ran::No);
                }
                Event::BreaksOff if has_run => {
                    has_run = false;
                    prop_assert_eq!(hedge.run_failed() == Step::Retry, attempts == 0);
                    dispatch.record_last_failure(Failure::Truncated);
                }
                _ => {}
            }
            prop_assert_eq!(hedge.in_progress(), attempts + u32::from(has_run));
            prop_assert!(runs <= MAX_RUNS, "{} runs", runs);
            if hedge.in_progress() == 0 {
                break;
            }
        }
    }
}
