//! Crashes that another request explains, and eviction.

use cloverpost_core::poison::{Action, Evidence, Fact, Mark, Options, Register, Status};
use cloverpost_core::{id, time};

use crate::poison::{EXPIRY, at, feature, fingerprint};

/// Options of the gateway.
const OPTIONS: Options = Options {
    expiry: EXPIRY,
    capacity: 64,
    threshold: 3,
    part_threshold: 4,
};

/// The crash of a process, equal for all requests that were in flight there.
fn process(number: u8) -> Evidence {
    Evidence {
        request: id::Request::NIL,
        upstream: format!("engine-{number}").parse().expect("valid name"),
    }
}

fn mark(register: &mut Register, request: u8, crashes: &[u8], now: time::Moment) -> Vec<Action> {
    let facts = crashes.iter().map(|number| {
        Fact::Mark(Mark {
            feature: feature(request),
            evidence: process(*number),
            is_confirmed: false,
            remaining: EXPIRY,
        })
    });
    let facts: Vec<_> = facts.collect();
    facts
        .into_iter()
        .flat_map(|fact| register.merge(fact, now))
        .collect()
}

fn status(register: &Register, request: u8) -> Status {
    register.status(&feature(request), at(1))
}

// Guards against rejecting a request that was in flight as a poison request crashed its upstreams.
#[test]
fn a_request_whose_crashes_another_request_explains_is_not_quarantined() {
    let mut vm = Register::new(OPTIONS);
    mark(&mut vm, 1, &[1, 2, 3], at(0));
    assert_eq!(status(&vm, 1), Status::Quarantined);
    let actions = mark(&mut vm, 2, &[1, 2, 3, 4], at(0));
    assert_eq!(status(&vm, 1), Status::Marked);
    assert_eq!(status(&vm, 2), Status::Quarantined);
    assert!(actions.contains(&Action::Released(feature(1))));
    assert!(actions.contains(&Action::Quarantined(feature(2))));
}

// Guards against rejecting a request that met the crashes of several poison requests.
#[test]
fn several_requests_together_explain_the_crashes_of_another() {
    let mut vm = Register::new(OPTIONS);
    mark(&mut vm, 1, &[1, 2, 11], at(0));
    mark(&mut vm, 2, &[1, 2, 3, 4], at(0));
    mark(&mut vm, 3, &[11, 12, 13, 14], at(0));
    assert_eq!(status(&vm, 1), Status::Marked);
    assert_eq!(status(&vm, 2), Status::Quarantined);
    assert_eq!(status(&vm, 3), Status::Quarantined);
}

// Guards against rejecting one of two requests of which either may be the cause.
#[test]
fn one_more_crash_decides_between_requests_with_the_same_crashes() {
    let mut vm = Register::new(OPTIONS);
    mark(&mut vm, 1, &[1, 2, 3], at(0));
    mark(&mut vm, 2, &[1, 2, 3], at(0));
    assert_eq!(status(&vm, 1), Status::Marked);
    assert_eq!(status(&vm, 2), Status::Marked);
    mark(&mut vm, 2, &[4], at(0));
    assert_eq!(status(&vm, 1), Status::Marked);
    assert_eq!(status(&vm, 2), Status::Quarantined);
}

// Guards against poison requests that excuse each other without end.
#[test]
fn two_poison_requests_that_always_meet_are_both_quarantined() {
    let mut vm = Register::new(OPTIONS);
    mark(&mut vm, 1, &[1, 2, 3, 4], at(0));
    mark(&mut vm, 2, &[1, 2, 3, 4], at(0));
    assert_eq!(status(&vm, 1), Status::Quarantined);
    assert_eq!(status(&vm, 2), Status::Quarantined);
}

// Guards against many poison requests at once, of which those with more crashes excuse the others.
#[test]
fn above_the_threshold_only_one_request_with_all_crashes_is_an_excuse() {
    let mut vm = Register::new(OPTIONS);
    mark(&mut vm, 1, &[1, 2, 5, 6, 7], at(0));
    mark(&mut vm, 2, &[3, 4, 8, 9], at(0));
    mark(&mut vm, 3, &[1, 2, 3], at(0));
    assert_eq!(status(&vm, 3), Status::Marked);
    mark(&mut vm, 3, &[4], at(0));
    assert_eq!(status(&vm, 3), Status::Quarantined);
    mark(&mut vm, 1, &[3, 4], at(0));
    assert_eq!(status(&vm, 3), Status::Marked);
}

// Guards against releasing a poison request when others go on to crash upstreams.
#[test]
fn a_confirmed_request_is_not_excused_by_later_crashes() {
    let mut vm = Register::new(OPTIONS);
    mark(&mut vm, 1, &[1, 2, 3, 4], at(0));
    vm.confirm(&feature(1), at(0));
    mark(&mut vm, 2, &[1, 2, 3, 4, 5, 6], at(1));
    assert_eq!(status(&vm, 1), Status::Quarantined);
}

// Guards against excusing a request by one that has been released.
#[test]
fn dismissed_evidence_explains_nothing() {
    let mut vm = Register::new(OPTIONS);
    mark(&mut vm, 1, &[1, 2, 3], at(0));
    mark(&mut vm, 2, &[1, 2, 3, 4], at(0));
    let actions = vm.lift(fingerprint(2), at(1));
    assert_eq!(status(&vm, 1), Status::Quarantined);
    assert!(actions.contains(&Action::Quarantined(feature(1))));
}

// Guards against forgetting a quarantine when the loss of many upstreams marks many requests.
#[test]
fn many_marked_requests_do_not_evict_a_quarantined_one() {
    let mut vm = Register::new(OPTIONS);
    mark(&mut vm, 0, &[1, 2, 3], at(0));
    for request in 1..=250 {
        mark(&mut vm, request, &[9], at(1));
    }
    assert_eq!(status(&vm, 0), Status::Quarantined);
    assert!(vm.len() <= OPTIONS.capacity);
}
