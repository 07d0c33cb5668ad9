//! Which requests wait and in what order they are released.

use std::collections::BTreeSet;
use std::time::Duration;

use cloverpost_core::startup::{
    Admission, Capacity, Outcome, Queue, Reason, Request, Summary, Ticket,
};
use proptest::prelude::*;
use rstest::rstest;

use super::at;

fn look_up(timeout_ms: u64) -> Request {
    Request {
        timeout: Some(Duration::from_millis(timeout_ms)),
        is_repeatable: true,
        body_bytes: Some(0),
    }
}

fn booking(timeout_ms: u64) -> Request {
    Request {
        is_repeatable: false,
        ..look_up(timeout_ms)
    }
}

fn waiting(admission: Admission) -> (Ticket, Vec<Ticket>) {
    match admission {
        Admission::Wait {
            ticket, displaced, ..
        } => (ticket, displaced),
        Admission::Refuse(reason) => panic!("refused: {reason}"),
    }
}

fn full_queue(requests: &[Request]) -> (Queue, Vec<Ticket>) {
    let mut queue = Queue::new(Capacity::Requests(requests.len()));
    let tickets = requests
        .iter()
        .map(|one| waiting(queue.admit(one, at(0))).0)
        .collect();
    (queue, tickets)
}

// Guards against waiting requests that exhaust the memory of a small VM.
#[rstest]
#[case::unknown_memory(0, 64)]
#[case::small_vm(88, 335)]
#[case::smallest_vm(1, 3)]
fn the_number_of_waiting_requests_is_bounded(#[case] megabytes: u32, #[case] max: usize) {
    let mut queue = Queue::new(Capacity::of_memory(megabytes));
    for _ in 0..max {
        waiting(queue.admit(&booking(20_000), at(0)));
    }
    let refused = queue.admit(&booking(20_000), at(0));
    assert_eq!(refused, Admission::Refuse(Reason::Full));
    assert_eq!(queue.len(), max);
}

// Guards against a refusal of a request with little time, or one that may not be repeated, while one
// waits that can be served by another VM.
#[test]
fn the_repeatable_request_with_the_most_time_is_displaced() {
    let (mut queue, tickets) = full_queue(&[look_up(9_000), look_up(20_000), booking(30_000)]);
    let (_, displaced) = waiting(queue.admit(&look_up(15_000), at(10)));
    assert_eq!(displaced, [tickets[1]]);
    let refused = queue.admit(&look_up(25_000), at(20));
    assert_eq!(refused, Admission::Refuse(Reason::Full));
    let (_, displaced) = waiting(queue.admit(&booking(25_000), at(30)));
    assert_eq!(displaced.len(), 1);
    assert_eq!(queue.len(), 3);
}

#[test]
fn a_request_with_a_body_displaces_as_many_as_its_memory_needs() {
    let mut queue = Queue::new(Capacity::Bytes(3 * 32 * 1024));
    for _ in 0..3 {
        waiting(queue.admit(&look_up(20_000), at(0)));
    }
    let large = Request {
        body_bytes: None,
        ..booking(5_000)
    };
    let (_, displaced) = waiting(queue.admit(&large, at(1)));
    assert_eq!((displaced.len(), queue.len()), (3, 1));
    assert_eq!(queue.bytes(), 96 * 1024);
}

// Guards against a burst at the upstreams when the configuration arrives, and against requests that
// run out of time in the order of release.
#[test]
fn requests_are_released_by_remaining_time_and_within_250_ms() {
    let requests: Vec<_> = (0..335)
        .map(|one| look_up(5_000 + one * 37 % 331))
        .collect();
    let (mut queue, tickets) = full_queue(&requests);
    queue.open(at(4_000));
    queue.open(at(9_000));
    let release = |ticket: &Ticket| queue.release_time(*ticket).unwrap();
    let mut times: Vec<_> = requests
        .iter()
        .zip(&tickets)
        .map(|(request, ticket)| (request.timeout, release(ticket)))
        .collect();
    times.sort_unstable();
    assert!(times.is_sorted_by_key(|(_, release)| *release));
    let releases: BTreeSet<_> = times.iter().map(|(_, release)| *release).collect();
    assert!(releases.iter().all(|time| *time <= at(4_250)));
    assert_eq!(releases.first(), Some(&at(4_000)));
    for release in releases {
        let batch = times.iter().filter(|(_, one)| *one == release).count();
        assert!(batch <= 34, "{batch} at once");
    }
}

#[test]
fn few_requests_are_released_at_once() {
    let (mut queue, tickets) = full_queue(&[look_up(9_000); 8]);
    queue.open(at(1_000));
    for ticket in tickets {
        assert_eq!(queue.release_time(ticket), Some(at(1_000)));
    }
}

#[test]
fn the_summary_is_taken_once_all_have_gone() {
    let (mut queue, tickets) = full_queue(&[look_up(9_000), look_up(9_000), booking(9_000)]);
    queue.admit(&booking(0), at(100));
    assert!(queue.end(tickets[0], Outcome::Refused(Reason::Expired), at(4_500)));
    assert!(!queue.end(tickets[0], Outcome::Released, at(4_500)));
    assert!(queue.end(tickets[1], Outcome::Left, at(4_600)));
    assert_eq!(queue.take_summary(), None);
    queue.open(at(4_700));
    assert_eq!(queue.take_summary(), None);
    queue.end(tickets[2], Outcome::Released, at(4_725));
    let expected = Summary {
        waited: 3,
        released: 1,
        expired: 1,
        refused: 1,
        left: 1,
        longest: Duration::from_millis(4_725),
    };
    assert_eq!(queue.take_summary(), Some(expected));
    assert_eq!(queue.take_summary(), None);
}

#[test]
fn a_start_without_waiting_requests_has_no_summary() {
    let mut queue = Queue::default();
    queue.open(at(300));
    assert_eq!(queue.take_summary(), None);
}

proptest! {
    /// The bound holds for any mix of requests, and a request that may not be repeated is never
    /// displaced.
    #[test]
    fn the_bound_holds_for_any_mix_of_requests(
        megabytes in 0_u32..4,
        mix in prop::collection::vec((any::<bool>(), 0_u64..30_000, prop::option::of(0_u64..200_000)), 1..150),
    ) {
        let capacity = Capacity::of_memory(megabytes);
        let mut queue = Queue::new(capacity);
        let mut bookings = BTreeSet::new();
        let mut expected_bytes = std::collections::BTreeMap::new();
        for (now_ms, (is_repeatable, timeout_ms, body_bytes)) in (0..).zip(mix) {
            let request = Request { is_repeatable, body_bytes, ..look_up(timeout_ms) };
            if let Admission::Wait { ticket, displaced, until } = queue.admit(&request, at(now_ms)) {
                prop_assert!(until > at(now_ms));
                for one in displaced {
                    prop_assert!(!bookings.contains(&one));
                    expected_bytes.remove(&one);
                }
                if !is_repeatable {
                    bookings.insert(ticket);
                }
                expected_bytes.insert(ticket, request.bytes());
            }
            prop_assert!(capacity.admits(queue.len(), queue.bytes()));
            prop_assert_eq!(queue.bytes(), expected_bytes.values().sum::<u64>());
        }
    }
}
