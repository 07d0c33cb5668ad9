//! What a VM knows of a limit.

use std::time::Duration;

use cloverpost_core::throttle::{Change, Notice, Register};

use super::{at, members, rate, registers, senders, upstream};

/// The register of the only VM of a fleet.
fn register() -> Register {
    registers(1).remove(0)
}

/// Records a response at `received` to a request sent at `sent`.
fn respond(
    register: &mut Register,
    limit: Option<f64>,
    sent: u64,
    received: u64,
) -> Option<Change> {
    let limit = limit.map(rate);
    register.record_response(&upstream(), limit, at(sent), at(received), received)
}

#[test]
fn a_limit_is_in_force_from_the_first_response() {
    let mut register = register();
    assert!(register.admits(&upstream(), at(0)));
    assert_eq!(
        respond(&mut register, Some(2.0), 0, 10),
        Some(Change::Stated(rate(2.0)))
    );
    assert_eq!(register.rate(&upstream(), at(10)), Some(rate(2.0)));
    assert_eq!(respond(&mut register, Some(2.0), 0, 20), None);
    assert_eq!(
        respond(&mut register, Some(1.0), 0, 30),
        Some(Change::Stated(rate(1.0)))
    );
    assert_eq!(register.count(), 1);
}

#[test]
fn responses_to_earlier_requests_do_not_end_a_limit() {
    let mut register = register();
    respond(&mut register, Some(2.0), 0, 100);
    for received in 200..220 {
        assert_eq!(respond(&mut register, None, 90, received), None);
    }
    assert_eq!(register.count(), 1);
}

#[test]
fn two_later_responses_end_a_limit() {
    let mut register = register();
    respond(&mut register, Some(2.0), 0, 100);
    assert_eq!(respond(&mut register, None, 110, 150), None);
    assert_eq!(respond(&mut register, None, 160, 200), Some(Change::Ended));
    assert_eq!(register.count(), 0);
}

#[test]
fn one_response_without_the_limit_does_not_end_it() {
    let mut register = register();
    for round in 0..20 {
        let start = round * 1_000;
        respond(&mut register, Some(2.0), start, start + 100);
        assert_eq!(respond(&mut register, None, start + 200, start + 300), None);
    }
    assert_eq!(register.count(), 1);
}

#[test]
fn one_request_beyond_the_pace_verifies_the_end() {
    let mut register = register();
    respond(&mut register, Some(0.1), 0, 100);
    respond(&mut register, None, 110, 150);
    assert!(register.admits(&upstream(), at(150)));
    register.record_send(&upstream(), at(150));
    assert!(!register.admits(&upstream(), at(151)));
}

// Guards against an end that nobody notices because the balancer prefers other upstreams.
#[test]
fn an_unused_part_and_a_possible_end_are_preferred() {
    let mut register = register();
    respond(&mut register, Some(1.0), 0, 0);
    assert!(!register.prefers(&upstream(), at(1_000)));
    assert!(register.prefers(&upstream(), at(3_000)));
    register.record_send(&upstream(), at(3_000));
    assert!(!register.prefers(&upstream(), at(3_100)));
    respond(&mut register, None, 3_000, 3_100);
    assert!(register.prefers(&upstream(), at(3_100)));
    respond(&mut register, None, 3_200, 3_300);
    assert!(!register.prefers(&upstream(), at(10_000)));
}

#[test]
fn the_rate_is_raised_in_steps_after_the_end() {
    let mut register = register();
    respond(&mut register, Some(2.0), 0, 0);
    respond(&mut register, None, 10, 20);
    respond(&mut register, None, 30, 1_000);
    let in_force = [1_000, 1_500, 2_000, 2_500].map(|now| register.rate(&upstream(), at(now)));
    assert_eq!(
        in_force,
        [Some(rate(4.0)), Some(rate(8.0)), Some(rate(16.0)), None]
    );
    assert!(register.admits(&upstream(), at(2_500)));
}

#[test]
fn a_new_process_under_the_same_id_is_used_in_steps() {
    let mut register = register();
    respond(&mut register, Some(2.0), 0, 0);
    register.restart(&upstream(), at(1_000));
    assert_eq!(register.rate(&upstream(), at(1_000)), Some(rate(4.0)));
    assert_eq!(register.rate(&upstream(), at(3_000)), None);
}

#[test]
fn a_vm_that_is_not_listed_sends_nothing_to_a_limited_upstream() {
    let members = members(3);
    let mut register = Register::new(super::Options::default(), senders(7, &members));
    respond(&mut register, Some(100.0), 0, 0);
    assert_eq!(register.wait(&upstream(), at(60_000)), None);
}

#[test]
fn a_sender_starts_without_saved_requests() {
    let members = members(9);
    let mut register = Register::new(super::Options::default(), senders(7, &members[..5]));
    respond(&mut register, Some(2.0), 0, 0);
    register.set_senders(senders(7, &members), at(5_000));
    let wait = register.wait(&upstream(), at(5_000)).unwrap();
    assert!(wait > Duration::ZERO);
}

#[test]
fn news_are_taken_once_and_repeated_while_the_limit_holds() {
    let mut register = register();
    respond(&mut register, Some(2.0), 0, 1_000);
    assert_eq!(register.take_news(at(1_000)).len(), 1);
    assert_eq!(register.take_news(at(9_000)), Vec::new());
    respond(&mut register, Some(2.0), 0, 10_000);
    assert_eq!(register.take_news(at(10_000)).len(), 1);
    respond(&mut register, Some(2.0), 0, 10_100);
    assert_eq!(register.take_news(at(10_200)), Vec::new());
    assert_eq!(register.take_news(at(12_000)).len(), 1);
}

#[test]
fn a_vm_learns_the_limit_and_its_end_from_others() {
    let mut registers = registers(2);
    respond(&mut registers[0], Some(2.0), 0, 1_000);
    let news = registers[0].take_news(at(1_000));
    assert_eq!(registers[1].merge(news.clone(), at(50)), news);
    assert_eq!(registers[1].rate(&upstream(), at(50)), Some(rate(2.0)));
    assert_eq!(registers[1].merge(news, at(60)), Vec::new());
    respond(&mut registers[0], None, 1_100, 1_200);
    respond(&mut registers[0], None, 1_300, 1_400);
    let news = registers[0].take_news(at(1_400));
    assert_eq!(registers[1].merge(news, at(500)).len(), 1);
    assert_eq!(registers[1].count(), 0);
}

#[test]
fn an_older_notice_changes_nothing() {
    let mut register = register();
    let notice = |limit: Option<f64>, stamp| Notice {
        upstream: upstream(),
        rate: limit.map(rate),
        stamp,
    };
    register.merge(vec![notice(Some(2.0), 10)], at(0));
    register.merge(vec![notice(None, 20)], at(10));
    assert_eq!(
        register.merge(vec![notice(Some(2.0), 15)], at(20)),
        Vec::new()
    );
    assert_eq!(register.count(), 0);
    assert_eq!(register.merge(vec![notice(Some(3.0), 30)], at(30)).len(), 1);
}

#[test]
fn own_responses_count_more_than_notices_with_a_clock_that_is_ahead() {
    let mut register = register();
    let ahead = Notice {
        upstream: upstream(),
        rate: Some(rate(2.0)),
        stamp: 1_000_000,
    };
    register.merge(vec![ahead.clone()], at(0));
    respond(&mut register, None, 10, 20);
    respond(&mut register, None, 30, 40);
    assert_eq!(register.count(), 0);
    assert_eq!(register.merge(vec![ahead], at(50)), Vec::new());
    let notices = register.notices(at(50));
    assert!(notices[0].stamp > 1_000_000 && notices[0].rate.is_none());
}

#[test]
fn the_end_is_repeated_and_then_forgotten() {
    let mut register = register();
    respond(&mut register, Some(2.0), 0, 0);
    respond(&mut register, None, 10, 20);
    respond(&mut register, None, 30, 40);
    assert_eq!(register.notices(at(20_000)).len(), 1);
    assert_eq!(register.notices(at(40_000)), Vec::new());
}
