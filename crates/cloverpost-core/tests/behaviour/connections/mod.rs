//! Connections of VMs to upstreams that accept a limited number from all VMs together.

mod load;

use std::time::Duration;

use cloverpost_core::connections::{Bound, Decision, Demand, Queue, Register, Wait};
use cloverpost_core::directory::{Fleet, View};
use cloverpost_core::{id, time};
use proptest::prelude::*;
use rstest::rstest;

fn upstream() -> id::Upstream {
    "i-1".parse().unwrap()
}

fn at(millis: u64) -> time::Moment {
    time::Moment::from_millis(millis)
}

/// A register with `open` connections.
fn register(bound: Bound, open: usize) -> Register {
    let mut register = Register::default();
    register.set_bound(&upstream(), bound);
    for _ in 0..open {
        register.record_open(&upstream());
    }
    register
}

fn demand(own: usize, peers: Option<usize>, reporters: u32) -> Demand {
    Demand {
        own,
        peers,
        reporters,
    }
}

// Guards against a division that leaves connections unused, or that differs from the stated one.
#[rstest]
#[case::even_without_report(demand(9, None, 0), 43)]
#[case::even_without_demand(demand(0, Some(0), 10), 43)]
#[case::no_own_demand(demand(0, Some(10), 10), 21)]
#[case::all_demand(demand(10, Some(0), 10), 237)]
#[case::half_of_the_demand(demand(5, Some(5), 10), 129)]
#[case::all_demand_of_one_of_two_zones(demand(10, Some(0), 5), 129)]
fn a_bound_is_half_even_and_half_by_demand(#[case] demand: Demand, #[case] bound: usize) {
    let fleet = Fleet::new(10);
    assert_eq!(Bound::new(480, fleet, &demand), Bound::Limited(bound));
}

// Guards against a service whose maximum is missing, zero or below the number of VMs: requests must be
// served as before, or by one connection of each VM.
#[rstest]
#[case::absent(u32::MAX, 10, Bound::None)]
#[case::zero(0, 10, Bound::None)]
#[case::absent_and_fleet_unknown(u32::MAX, 0, Bound::None)]
#[case::fleet_unknown(480, 0, Bound::Unknown)]
#[case::fewer_than_vms(3, 10, Bound::Limited(1))]
#[case::one(1, 1, Bound::Limited(1))]
#[case::as_many_as_vms(10, 10, Bound::Limited(1))]
fn bad_maxima_are_no_bound_or_one_connection(
    #[case] maximum: u32,
    #[case] vms: u32,
    #[case] bound: Bound,
) {
    let demand = demand(7, Some(0), 1);
    assert_eq!(Bound::new(maximum, Fleet::new(vms), &demand), bound);
}

proptest! {
    // Guards against VMs that together exceed what an upstream accepts while they know the same.
    #[test]
    fn the_bounds_of_all_vms_are_within_the_maximum(
        maximum in 1_u32..100_000,
        zones in prop::collection::vec(prop::collection::vec(0_usize..10_000, 1..40), 1..4),
        with_report in any::<bool>(),
    ) {
        let vms: usize = zones.iter().map(Vec::len).sum();
        let fleet = Fleet::new(u32::try_from(vms).unwrap());
        let mut sum = 0;
        for zone in &zones {
            let total: usize = zone.iter().sum();
            let reporters = u32::try_from(zone.len()).unwrap();
            for own in zone {
                let peers = with_report.then_some(total - own);
                let bound = Bound::new(maximum, fleet, &demand(*own, peers, reporters));
                let Bound::Limited(bound) = bound else {
                    panic!("a bound is expected");
                };
                prop_assert!(bound >= 1);
                sum += bound;
            }
        }
        prop_assert!(sum <= usize::try_from(maximum).unwrap().max(vms));
    }

    // Guards against a panic or an unlimited bound after impossible reports.
    #[test]
    fn no_report_breaks_the_division(
        maximum in any::<u32>(),
        vms in any::<u32>(),
        own in any::<usize>(),
        peers in any::<Option<usize>>(),
        reporters in any::<u32>(),
    ) {
        let bound = Bound::new(maximum, Fleet::new(vms), &demand(own, peers, reporters));
        if let Bound::Limited(bound) = bound {
            prop_assert!(bound >= 1 && bound <= usize::try_from(maximum).unwrap());
        }
    }

    // Guards against a count that leaks: what was opened and closed leaves nothing behind.
    #[test]
    fn connections_are_counted_until_they_are_closed(
        actions in prop::collection::vec((0_u8..3, 0_u64..1_000), 0..200),
    ) {
        let mut register = register(Bound::Limited(8), 0);
        let mut open = 0_usize;
        let mut now = at(0);
        for (action, millis) in actions {
            now = now + Duration::from_millis(millis);
            match action {
                0 if register.decide(&upstream(), 0, now) == Decision::Open => {
                    register.record_open(&upstream());
                    open += 1;
                }
                1 => {
                    register.record_closed(&upstream());
                    open = open.saturating_sub(1);
                }
                _ => {
                    register.record_reset(&upstream(), now, now);
                }
            }
            prop_assert_eq!(register.open(&upstream()), open);
            prop_assert!(open <= 8);
            let limit = register.limit(&upstream(), now).unwrap();
            prop_assert!((1..=8).contains(&limit));
        }
    }
}

// Guards against a VM that opens more connections than its share while idle ones hold it.
#[test]
fn idle_connections_make_room_at_the_bound() {
    let register = register(Bound::Limited(2), 2);
    assert_eq!(register.decide(&upstream(), 1, at(0)), Decision::CloseIdle);
    assert_eq!(register.decide(&upstream(), 0, at(0)), Decision::Wait);
}

// Guards against checks of a path that take the last connection from a request.
#[test]
fn a_check_leaves_a_connection_for_a_request() {
    let one_left = register(Bound::Limited(3), 2);
    assert!(one_left.has_capacity(&upstream(), at(0)));
    assert!(!one_left.has_spare_capacity(&upstream(), at(0)));
    assert!(register(Bound::Limited(1), 0).has_spare_capacity(&upstream(), at(0)));
    assert!(!register(Bound::Limited(1), 1).has_spare_capacity(&upstream(), at(0)));
    assert!(register(Bound::Limited(3), 1).has_spare_capacity(&upstream(), at(0)));
    assert!(register(Bound::None, 1_000).has_spare_capacity(&upstream(), at(0)));
}

// Guards against immediate retries that multiply the resets.
#[rstest]
#[case::bounded(Bound::Limited(12))]
#[case::fleet_unknown(Bound::Unknown)]
fn a_reset_halves_the_limit_which_recovers_one_by_one(#[case] bound: Bound) {
    let mut register = register(bound, 10);
    assert_eq!(register.record_reset(&upstream(), at(0), at(5)), Some(5));
    assert!(register.is_reduced(&upstream(), at(5)));
    assert_eq!(register.decide(&upstream(), 0, at(5)), Decision::Wait);
    assert_eq!(register.limit(&upstream(), at(254)), Some(5));
    assert_eq!(register.limit(&upstream(), at(255)), Some(6));
    assert_eq!(register.limit(&upstream(), at(1_005)), Some(9));
    assert!(register.take_restored(at(1_005)).is_empty());
    assert_eq!(register.take_restored(at(2_005)), [upstream()]);
    assert!(register.take_restored(at(2_005)).is_empty());
    let limit = register.limit(&upstream(), at(2_005));
    assert_eq!(limit, (bound == Bound::Limited(12)).then_some(12));
}

// Guards against a limit that falls to one since several connections were reset at once.
#[test]
fn connections_that_were_opened_before_a_reduction_do_not_reduce_further() {
    let mut register = register(Bound::Limited(16), 16);
    assert_eq!(register.record_reset(&upstream(), at(0), at(2)), Some(8));
    assert_eq!(register.record_reset(&upstream(), at(1), at(3)), None);
    assert_eq!(register.record_reset(&upstream(), at(10), at(12)), Some(8));
    assert_eq!(register.limit(&upstream(), at(12)), Some(8));
}

// Guards against a VM without a connection that opens one after another while all are reset.
#[test]
fn no_connection_is_opened_right_after_a_reset() {
    let mut register = register(Bound::Limited(4), 0);
    assert_eq!(register.record_reset(&upstream(), at(0), at(2)), Some(1));
    assert_eq!(register.decide(&upstream(), 0, at(101)), Decision::Wait);
    assert_eq!(register.decide(&upstream(), 0, at(102)), Decision::Open);
}

#[test]
fn a_limit_is_never_below_one() {
    let mut register = register(Bound::Limited(4), 0);
    for millis in 0..10 {
        register.record_reset(&upstream(), at(millis + 1), at(millis + 1));
        assert_eq!(register.limit(&upstream(), at(millis + 1)), Some(1));
    }
}

// Guards against a change for services that state no maximum.
#[test]
fn a_service_without_a_maximum_is_never_limited() {
    let mut register = register(Bound::None, 1_000);
    assert_eq!(register.record_reset(&upstream(), at(0), at(1)), None);
    assert_eq!(register.decide(&upstream(), 5, at(1)), Decision::Open);
    assert!(!register.is_scarce(&upstream(), at(1)));
}

// Guards against an upstream that restarts and is used as if it were still full.
#[test]
fn a_restarted_upstream_starts_at_the_full_bound() {
    let mut register = register(Bound::Limited(4), 4);
    register.record_reset(&upstream(), at(0), at(1));
    register.restart(&upstream());
    assert!(!register.is_reduced(&upstream(), at(1)));
    assert_eq!(register.limit(&upstream(), at(1)), Some(4));
    assert_eq!(register.open(&upstream()), 4);
}

// Guards against a table that grows with each upstream that ever was, and against a count that is
// lost while connections of a removed upstream are open.
#[test]
fn a_removed_upstream_is_forgotten_once_its_connections_are_closed() {
    let mut register = register(Bound::Limited(4), 1);
    register.retain(&View::default());
    assert_eq!(register.open(&upstream()), 1);
    register.record_closed(&upstream());
    register.retain(&View::default());
    assert_eq!(register.bound(&upstream()), Bound::None);
}

// Guards against urgent requests that wait behind others.
#[test]
fn requests_leave_the_queue_by_priority_then_by_arrival() {
    let mut queue = Queue::default();
    queue.push(2, "late");
    queue.push(1, "first");
    let gone = queue.push(0, "gone");
    queue.push(1, "second");
    assert_eq!(queue.remove(gone), Some("gone"));
    assert_eq!(queue.remove(gone), None);
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order, ["first", "second", "late"]);
    assert!(queue.is_empty());
}

#[rstest]
#[case(7_000, 100, 3_500)]
#[case(200, 50, 100)]
#[case(0, 0, 0)]
fn a_wait_is_a_part_of_the_time_left(#[case] left: u64, #[case] others: u64, #[case] alone: u64) {
    let wait = Wait::new(Duration::from_millis(left));
    assert_eq!(wait.with_others, Duration::from_millis(others));
    assert_eq!(wait.alone, Duration::from_millis(alone));
}
