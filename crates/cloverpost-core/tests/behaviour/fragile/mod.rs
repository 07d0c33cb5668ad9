//! Upstreams that fail when they reject too many requests.

mod fleet;

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use cloverpost_core::directory::{Member, Size, Upstream};
use cloverpost_core::fragile::{Change, Load, Notice, Register, Share};
use cloverpost_core::quota::Senders;
use cloverpost_core::throttle::Rate;
use cloverpost_core::time;

const SLOTS: u32 = 6;

fn at(millis: u64) -> time::Moment {
    time::Moment::from_millis(millis)
}

fn rate(per_second: f64) -> Rate {
    Rate::try_from(per_second).unwrap()
}

fn upstream() -> Arc<Upstream> {
    Arc::new(Upstream {
        id: "i-1".parse().unwrap(),
        service: "app".parse().unwrap(),
        address: "10.0.0.1:1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: SLOTS,
        born_ms: None,
        cold: Duration::ZERO,
        is_leaving: false,
    })
}

/// The register of each VM of a fleet whose VMs all know each other.
fn registers(count: usize) -> Vec<Register> {
    let member = |number: usize| Member {
        vm: format!("vm-{number}").parse().unwrap(),
        zone: ["a", "b", "c"][number % 3].parse().unwrap(),
        address: "10.0.0.1:1".parse().unwrap(),
        size: Size::default(),
    };
    let members: Vec<_> = (0..count).map(member).collect();
    let register = |number| {
        let own = format!("vm-{number}").parse().unwrap();
        let mut register = Register::new(Senders::new(own, members.iter()));
        tell(&mut register, Some(5.0), 0);
        register.prepare(
            &upstream().service,
            [&upstream()].into_iter(),
            Load::default(),
            at(0),
        );
        register
    };
    (0..count).map(register).collect()
}

/// `own` requests in flight on an upstream without room for more than the shares.
fn saturated(own: usize) -> Load {
    Load {
        own,
        zone: Some(100),
    }
}

/// Records a response to a request that was sent 10 ms before.
fn tell(register: &mut Register, limit: Option<f64>, now: u64) -> Option<Change> {
    let service = &upstream().service;
    let sent = at(now.saturating_sub(10));
    register.record_statement(service, limit.map(rate), sent, at(now))
}

#[rstest]
#[case(0.0, 6)]
#[case(5.0, 8)]
#[case(40.0, 26)]
fn the_places_of_all_vms_are_the_slots_and_half_of_the_limit(
    #[case] limit: f64,
    #[case] places: usize,
    #[values(1, 9, 80, 630)] vms: usize,
) {
    let share = |rank| Share::new(rate(limit), SLOTS, vms, Some(rank)).places;
    assert_eq!((0..vms).map(share).sum::<usize>(), places);
    assert_eq!(Share::new(rate(limit), SLOTS, vms, None).places, 0);
}

#[test]
fn two_responses_without_a_statement_show_its_end() {
    let mut register = registers(1).remove(0);
    assert_eq!(tell(&mut register, Some(5.0), 1_000), None);
    assert_eq!(
        tell(&mut register, Some(7.0), 1_100),
        Some(Change::Stated(rate(7.0)))
    );
    assert_eq!(tell(&mut register, None, 1_105), None);
    assert_eq!(tell(&mut register, None, 1_200), None);
    assert_eq!(tell(&mut register, None, 1_300), Some(Change::Ended));
    assert!(admits(&register, saturated(1_000), at(1_400)));
}

#[test]
fn a_rejected_request_keeps_its_place_for_a_second() {
    let mut register = registers(1).remove(0);
    assert!(admits(&register, saturated(7), at(0)));
    assert!(!admits(&register, saturated(8), at(0)));
    register.record_rejection(&upstream(), 4, at(0));
    assert!(admits(&register, saturated(2), at(100)));
    assert!(!admits(&register, saturated(3), at(1_000)));
    assert!(admits(&register, saturated(3), at(1_300)));
    assert!(!admits(&register, saturated(4), at(1_300)));
}

#[test]
fn accepted_requests_win_places_back() {
    let mut register = registers(1).remove(0);
    register.record_rejection(&upstream(), 1, at(0));
    for _ in 0..40 {
        register.record_response(&upstream());
    }
    assert!(admits(&register, saturated(7), at(2_000)));
}

#[test]
fn a_vm_without_a_place_sends_now_and_then() {
    // Guards against a VM that never learns that the upstreams are no longer fragile.
    let mut register = unplaced();
    let interval = register.share(&upstream()).unwrap().unplaced_interval;
    assert!(!admits(&register, saturated(0), at(1)));
    let due = at(0) + interval;
    assert!(admits(&register, saturated(0), due) && !admits(&register, saturated(1), due));
    register.record_send(&upstream(), due);
    assert!(!admits(&register, saturated(0), due + interval / 2));
}

#[test]
fn callers_return_as_places_become_free() {
    let mut register = registers(1).remove(0);
    for _ in 0..100 {
        register.record_end(&upstream().service, Duration::from_millis(500));
    }
    let rate = register.rate(&upstream().service, [&upstream()].into_iter());
    assert!((rate.unwrap().per_second() - 16.0).abs() < 0.1, "{rate:?}");
}

/// Whether a service of one upstream takes a request.
fn admits(register: &Register, load: Load, now: time::Moment) -> bool {
    let mut register = register.clone();
    // Long enough for the average to follow.
    for moment in [at(0), at(0) + Duration::from_hours(1), now] {
        register.prepare(&upstream().service, [&upstream()].into_iter(), load, moment);
    }
    let is_light = register.is_light(&upstream().service, SLOTS, now);
    register.admits(&upstream(), load, is_light, now)
}

/// An upstream without requests but `own` ones.
fn idle(own: usize) -> Load {
    Load {
        own,
        zone: Some(own),
    }
}

fn unplaced() -> Register {
    let is_unplaced = |register: &Register| register.share(&upstream()).unwrap().places == 0;
    registers(80).into_iter().find(is_unplaced).unwrap()
}

#[test]
fn a_vm_without_a_place_sends_while_the_upstream_has_room() {
    // Guards against VMs that serve nobody where there are more VMs than places.
    let mut register = unplaced();
    assert!(admits(&register, idle(0), at(1)));
    assert!(!admits(&register, saturated(0), at(1)));
    let unknown = |own| Load { own, zone: None };
    assert!(admits(&register, unknown(0), at(1)));
    assert!(!admits(&register, unknown(1), at(1)));
    register.record_rejection(&upstream(), 0, at(1));
    assert!(!admits(&register, idle(0), at(1_100)));
    assert!(admits(&register, idle(0), at(2_100)));
}

#[test]
fn a_rejection_at_another_vm_ends_sends_beyond_the_share() {
    let (mut teller, mut register) = (unplaced(), unplaced());
    assert!(teller.record_rejection(&upstream(), 0, at(100)));
    assert!(!teller.record_rejection(&upstream(), 0, at(200)));
    let notices = teller.take_news();
    assert_eq!(teller.take_news(), []);
    assert_eq!(register.merge(notices.clone(), at(110)), notices);
    assert!(!admits(&register, idle(0), at(120)));
    // Watchers forward each notice once.
    assert_eq!(register.merge(notices.clone(), at(120)), []);
    assert_eq!(register.merge(notices.clone(), at(400)), notices);
}

#[test]
fn a_vm_that_has_had_no_response_learns_the_limit_of_a_notice() {
    let mut register = registers(1).remove(0);
    let service = &upstream().service;
    let (sent, now) = (at(20), at(30));
    register.record_statement(service, None, sent, now);
    register.record_statement(service, None, sent, now);
    assert_eq!(register.limit(service), None);
    let notice = Notice {
        service: service.clone(),
        limit: rate(3.0),
    };
    register.merge(vec![notice], at(100));
    assert_eq!(register.limit(service), Some(rate(3.0)));
}
