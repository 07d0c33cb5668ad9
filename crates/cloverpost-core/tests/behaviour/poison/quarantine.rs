//! Marking, quarantine, expiry and release.

use std::time::Duration;

use cloverpost_core::directory::Upstream;
use cloverpost_core::poison::{Action, Evidence, Fingerprint, Options, Register, Status};
use rstest::rstest;

use crate::poison::{EXPIRY, at, broadcast_facts, crash, feature, fingerprint, register};

// One crash may have an unrelated cause, so the retry must still run.
#[test]
fn a_request_whose_upstream_crashed_once_is_marked_and_may_run() {
    let mut vm = register();
    let facts = broadcast_facts(vm.record_crash(fingerprint(1), crash(1, 1), at(0)));
    assert_eq!(facts.len(), 1);
    assert_eq!(vm.status(&feature(1), at(1)), Status::Marked);
    assert_eq!(vm.status(&feature(2), at(1)), Status::Clear);
}

// A request that crashes its upstreams is retried, or resent under a new request
// id through another VM. The second crash must stop it on every VM.
#[rstest]
#[case::retried_on_another_upstream(crash(1, 2))]
#[case::resent_by_the_caller(crash(2, 1))]
fn the_second_crash_quarantines_on_every_vm(#[case] second: Evidence) {
    let (mut one, mut two, mut three) = (register(), register(), register());
    for fact in broadcast_facts(one.record_crash(fingerprint(1), crash(1, 1), at(0))) {
        two.merge(fact, at(0));
    }
    let actions = two.record_crash(fingerprint(1), second, at(1));
    assert!(actions.contains(&Action::Quarantined(feature(1))));
    for fact in broadcast_facts(actions) {
        one.merge(fact.clone(), at(1));
        three.merge(fact, at(1));
    }
    for vm in [&one, &two, &three] {
        assert_eq!(vm.status(&feature(1), at(2)), Status::Quarantined);
    }
}

// Two reports of the same broken connection are one crash and must not quarantine
// the request.
#[test]
fn one_crash_reported_twice_counts_once() {
    let mut vm = register();
    vm.record_crash(fingerprint(1), crash(1, 1), at(0));
    let again = vm.record_crash(fingerprint(1), crash(1, 1), at(1));
    assert!(again.is_empty());
    assert_eq!(vm.status(&feature(1), at(2)), Status::Marked);
}

#[test]
fn a_crash_after_the_mark_has_expired_counts_as_the_first() {
    let mut vm = register();
    vm.record_crash(fingerprint(1), crash(1, 1), at(0));
    assert_eq!(vm.status(&feature(1), at(60)), Status::Clear);
    vm.record_crash(fingerprint(1), crash(2, 2), at(61));
    assert_eq!(vm.status(&feature(1), at(62)), Status::Marked);
}

// A quarantine expires on one VM before its peer, whose next digest still carries
// it. The digest must not revive it, or the two would extend it forever.
#[test]
fn peers_do_not_revive_an_expired_quarantine() {
    let (mut one, mut two) = (register(), register());
    one.record_crash(fingerprint(1), crash(1, 1), at(0));
    one.record_crash(fingerprint(1), crash(2, 2), at(0));
    for second in 0..300 {
        for fact in one.facts(at(second)).collect::<Vec<_>>() {
            two.merge(fact, at(second + 1));
        }
        for fact in two.facts(at(second + 1)).collect::<Vec<_>>() {
            one.merge(fact, at(second + 1));
        }
        one.prune(at(second + 1));
        two.prune(at(second + 1));
    }
    let end = at(62);
    assert_eq!(one.status(&feature(1), end), Status::Clear);
    assert_eq!(two.status(&feature(1), end), Status::Clear);
    assert!(one.is_empty() && two.is_empty());
}

// A quarantine passed on to replacement VMs must keep its original expiry.
#[test]
fn a_quarantine_sent_to_new_vms_keeps_its_expiry() {
    let mut vm = register();
    vm.record_crash(fingerprint(1), crash(1, 1), at(0));
    vm.record_crash(fingerprint(1), crash(2, 2), at(0));
    for second in (10..60).step_by(10) {
        let mut fresh = register();
        for fact in vm.facts(at(second)).collect::<Vec<_>>() {
            fresh.merge(fact, at(second));
        }
        vm = fresh;
        assert_eq!(vm.status(&feature(1), at(second)), Status::Quarantined);
    }
    assert_eq!(vm.status(&feature(1), at(60)), Status::Clear);
}

// A peer that missed a lift still sends its marks. They must not undo the lift, and
// the peer must apply it once it arrives.
#[test]
fn a_lift_reaches_every_vm_and_is_not_undone_by_one_that_missed_it() {
    let (mut one, mut two) = (register(), register());
    one.record_crash(fingerprint(1), crash(1, 1), at(0));
    for fact in broadcast_facts(one.record_crash(fingerprint(1), crash(2, 2), at(0))) {
        two.merge(fact, at(0));
    }
    let actions = one.lift(fingerprint(1), at(1));
    assert!(actions.contains(&Action::Released(feature(1))));
    for fact in two.facts(at(2)).collect::<Vec<_>>() {
        one.merge(fact, at(2));
    }
    assert_eq!(one.status(&feature(1), at(2)), Status::Clear);
    for fact in one.facts(at(3)).collect::<Vec<_>>() {
        two.merge(fact, at(3));
    }
    assert_eq!(two.status(&feature(1), at(3)), Status::Clear);
}

#[test]
fn two_crashes_after_a_lift_quarantine_again() {
    let mut vm = register();
    for number in 1..=2 {
        vm.record_crash(fingerprint(1), crash(number, number), at(0));
    }
    vm.lift(fingerprint(1), at(1));
    vm.record_crash(fingerprint(1), crash(3, 3), at(2));
    assert_eq!(vm.status(&feature(1), at(3)), Status::Marked);
    vm.record_crash(fingerprint(1), crash(4, 4), at(4));
    assert_eq!(vm.status(&feature(1), at(5)), Status::Quarantined);
}

#[test]
fn the_least_recently_changed_records_are_evicted_at_capacity() {
    let mut vm = Register::new(Options {
        threshold: 2,
        expiry: EXPIRY,
        capacity: 8,
        ..Options::default()
    });
    for number in 0..100 {
        vm.record_crash(
            fingerprint(number),
            crash(number, 1),
            at(u64::from(number) / 10),
        );
        assert!(vm.len() <= 8);
    }
    assert_eq!(vm.status(&feature(99), at(10)), Status::Marked);
    assert_eq!(vm.status(&feature(0), at(10)), Status::Clear);
}

#[test]
fn one_organisation_cannot_have_the_body_of_another_quarantined() {
    let fingerprint =
        |name: &str, body: &[u8]| Fingerprint::of(&name.parse().expect("valid name"), body);
    assert_ne!(fingerprint("a", b"body"), fingerprint("b", b"body"));
    assert_ne!(fingerprint("a", b"bc"), fingerprint("ab", b"c"));
}

// Guards against a quarantine of a frequent request, of which several copies were in flight on one
// upstream that crashed for another reason.
#[test]
fn copies_of_a_request_on_one_crashed_upstream_count_once() {
    let mut vm = register();
    let crashed = crate::directory::upstream("i-1", "v1");
    for second in 0..4 {
        vm.record_crash(fingerprint(1), Evidence::of_process(&crashed), at(second));
    }
    assert_eq!(vm.status(&feature(1), at(4)), Status::Marked);
    let restarted = Upstream {
        born_ms: Some(7),
        ..crashed
    };
    vm.record_crash(fingerprint(1), Evidence::of_process(&restarted), at(4));
    assert_eq!(vm.status(&feature(1), at(5)), Status::Quarantined);
}

#[test]
fn the_threshold_is_the_number_of_crashes_that_quarantine() {
    let mut vm = Register::new(Options {
        threshold: 3,
        expiry: EXPIRY,
        ..Options::default()
    });
    for number in 1..=3 {
        assert_eq!(vm.remaining(&feature(1), at(0)), None);
        vm.record_crash(fingerprint(1), crash(number, number), at(0));
    }
    let remaining = vm.remaining(&feature(1), at(1));
    assert_eq!(remaining, EXPIRY.checked_sub(Duration::from_secs(1)));
    assert_eq!(vm.facts_of(&feature(1), at(1)).count(), 3);
    assert_eq!(vm.facts_of(&feature(2), at(1)).count(), 0);
}

#[test]
fn requests_for_other_paths_have_other_fingerprints() {
    let organisation = "harrowgate".parse().expect("valid name");
    let of = |path| Fingerprint::of_call(Some(&organisation), path, b"body");
    assert_eq!(of("/look/1"), of("/look/1"));
    assert_ne!(of("/look/1"), of("/look/2"));
    assert_ne!(
        of("/look/1"),
        Fingerprint::of_call(None, "/look/1", b"body")
    );
}
