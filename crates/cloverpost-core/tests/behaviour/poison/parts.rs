//! Parts of prompts that crash upstreams.

use std::sync::Arc;

use cloverpost_core::poison::{
    Evidence, Fact, Feature, Mark, Options, Part, Profile, Register, Status,
};
use cloverpost_core::{directory, time};

use crate::poison::{EXPIRY, at, feature, fingerprint};

/// Options of the gateway.
const OPTIONS: Options = Options {
    expiry: EXPIRY,
    capacity: 4_096,
    threshold: 3,
    part_threshold: 4,
};

fn part(number: u64) -> Feature {
    Part::from(number).into()
}

fn upstream(number: u8) -> directory::Upstream {
    crate::directory::upstream(&format!("engine-{number}"), "v1")
}

/// Records that the requests, each with its parts, were in flight as an upstream crashed.
fn crash(register: &mut Register, process: u8, in_flight: &[(u8, &[u64])], now: time::Moment) {
    let upstream = upstream(process);
    for (request, parts) in in_flight {
        let evidence = Evidence::of_process(&upstream);
        register.record_crash(fingerprint(*request), evidence, now);
        for number in *parts {
            let evidence = Evidence::of_request(&upstream, &fingerprint(*request));
            register.record_crash(Part::from(*number), evidence, now);
        }
    }
}

fn is_quarantined(register: &Register, feature: Feature) -> bool {
    register.status(&feature, at(1)) == Status::Quarantined
}

// Guards against requests, no two alike, that each crash fewer upstreams than quarantine one.
#[test]
fn a_part_whose_requests_all_crash_is_quarantined() {
    let mut vm = Register::new(OPTIONS);
    for number in 1..=3 {
        crash(&mut vm, number, &[(number, &[7])], at(0));
    }
    assert_eq!(vm.status(&part(7), at(1)), Status::Marked);
    crash(&mut vm, 4, &[(4, &[7])], at(0));
    assert!(is_quarantined(&vm, part(7)));
    let profile = Profile {
        request: fingerprint(9),
        parts: Arc::from([Part::from(1), Part::from(7)]),
    };
    assert_eq!(vm.worst(&profile, at(1)), (part(7), Status::Quarantined));
}

// Guards against rejecting all requests with a part that a single poison request has.
#[test]
fn of_a_poison_request_and_its_part_only_the_request_is_quarantined() {
    let mut vm = Register::new(OPTIONS);
    for number in 1..=3 {
        crash(&mut vm, number, &[(1, &[7])], at(0));
    }
    assert!(is_quarantined(&vm, feature(1)));
    for number in 4..=5 {
        crash(&mut vm, number, &[(1, &[7]), (2, &[7])], at(0));
    }
    assert!(!is_quarantined(&vm, part(7)));
    assert!(is_quarantined(&vm, feature(1)));
}

// Guards against a part that excuses a poison request, since another request with it met a crash.
#[test]
fn a_part_excuses_no_poison_request_that_accounts_for_most_of_its_crashes() {
    let mut vm = Register::new(OPTIONS);
    crash(&mut vm, 9, &[(2, &[7])], at(0));
    for number in 1..=4 {
        crash(&mut vm, number, &[(1, &[7]), (3, &[7])], at(0));
    }
    assert!(is_quarantined(&vm, feature(1)));
    assert!(!is_quarantined(&vm, part(7)));
}

// Guards against parts that were only in flight and together excuse a poison request without end.
#[test]
fn parts_that_meet_some_of_its_crashes_do_not_excuse_a_poison_request() {
    let mut vm = Register::new(OPTIONS);
    for number in 1..=6 {
        let (beside, part) = (100 + number, 7 + u64::from(number) % 2);
        crash(&mut vm, number, &[(1, &[]), (beside, &[part])], at(0));
    }
    assert!(is_quarantined(&vm, feature(1)));
    assert!(!is_quarantined(&vm, part(7)) && !is_quarantined(&vm, part(8)));
}

// Guards against rejecting requests that were in flight as others with a bad part crashed upstreams.
#[test]
fn requests_beside_a_bad_part_are_not_quarantined() {
    let mut vm = Register::new(OPTIONS);
    for number in 1..=3 {
        crash(&mut vm, number, &[(number, &[7]), (9, &[])], at(0));
    }
    assert!(!is_quarantined(&vm, feature(9)));
}

// Guards against a part that all requests share and of which no success is known yet.
#[test]
fn a_part_that_another_one_accounts_for_is_not_quarantined() {
    let mut vm = Register::new(OPTIONS);
    for number in 1..=4 {
        let innocent = 100 + number;
        crash(&mut vm, number, &[(number, &[7]), (innocent, &[8])], at(0));
    }
    assert!(!is_quarantined(&vm, part(7)));
    assert!(!is_quarantined(&vm, part(8)));
    crash(&mut vm, 5, &[(5, &[7])], at(0));
    assert!(is_quarantined(&vm, part(7)));
    assert!(!is_quarantined(&vm, part(8)));
}

// Guards against a bad part that is let through again and again beside others with more crashes.
#[test]
fn a_part_is_excused_by_another_one_up_to_a_number_of_crashes() {
    let mut vm = Register::new(OPTIONS);
    for number in 1..=4 {
        let other = 100 + number;
        crash(&mut vm, number, &[(number, &[7]), (other, &[8])], at(0));
    }
    crash(&mut vm, 9, &[(9, &[8])], at(0));
    assert!(!is_quarantined(&vm, part(7)));
    assert!(is_quarantined(&vm, part(8)));
    crash(&mut vm, 5, &[(5, &[7]), (105, &[8])], at(0));
    assert!(is_quarantined(&vm, part(7)));
}

// Guards against releasing a quarantined part when others go on to crash upstreams.
#[test]
fn a_quarantined_part_is_not_excused_by_later_crashes() {
    let (mut one, mut two) = (Register::new(OPTIONS), Register::new(OPTIONS));
    for number in 1..=4 {
        crash(&mut one, number, &[(number, &[7])], at(0));
    }
    one.confirm(&part(7), at(0));
    let told: Vec<_> = one.facts_of(&part(7), at(0)).collect();
    for register in [&mut one, &mut two] {
        for number in 1..=5 {
            crash(register, number, &[(100 + number, &[8])], at(0));
        }
    }
    for fact in told {
        two.merge(fact, at(1));
    }
    assert!(is_quarantined(&one, part(7)));
    assert!(is_quarantined(&two, part(7)));
}

// Guards against parts that excuse each other without end.
#[test]
fn two_parts_that_all_their_requests_have_are_both_quarantined() {
    let mut vm = Register::new(OPTIONS);
    for number in 1..=4 {
        crash(&mut vm, number, &[(number, &[7, 8])], at(0));
    }
    assert!(is_quarantined(&vm, part(7)));
    assert!(is_quarantined(&vm, part(8)));
}

// Guards against a part that stays quarantined after a request with it has succeeded.
#[test]
fn a_lifted_part_is_quarantined_again_only_after_as_many_crashes() {
    let mut vm = Register::new(OPTIONS);
    for number in 1..=4 {
        crash(&mut vm, number, &[(number, &[7])], at(0));
    }
    vm.lift(part(7), at(1));
    for number in 5..=7 {
        crash(&mut vm, number, &[(number, &[7])], at(1));
    }
    assert!(!is_quarantined(&vm, part(7)));
    crash(&mut vm, 8, &[(8, &[7])], at(1));
    assert!(is_quarantined(&vm, part(7)));
}

// Guards against VMs that judge a part by the order in which they hear of its crashes.
#[test]
fn vms_that_are_told_all_marks_of_a_part_agree() {
    let (mut one, mut two) = (Register::new(OPTIONS), Register::new(OPTIONS));
    let mark = |number: u8| Mark {
        feature: part(7),
        evidence: Evidence::of_request(&upstream(number), &fingerprint(number)),
        is_confirmed: false,
        remaining: EXPIRY,
    };
    for number in 1..=4 {
        one.merge(Fact::Mark(mark(number)), at(0));
        two.merge(Fact::Mark(mark(5 - number)), at(0));
    }
    assert!(is_quarantined(&one, part(7)) && is_quarantined(&two, part(7)));
    assert_eq!(one.facts_of(&part(7), at(1)).count(), 4);
}
