//! Broken direct paths, and the choice of VMs that help.

use std::time::Duration;

use cloverpost_core::directory::{Member, Size};
use cloverpost_core::path::{Answer, Helpers, Register};
use cloverpost_core::{id, time};
use proptest::prelude::*;

fn upstream(number: usize) -> id::Upstream {
    format!("i-{number}").parse().unwrap()
}

fn at(millis: u64) -> time::Moment {
    time::Moment::from_millis(millis)
}

#[test]
fn a_broken_path_is_tried_again_once_a_second() {
    let mut register = Register::default();
    assert!(register.record_broken(&upstream(1), at(0)));
    assert!(!register.record_broken(&upstream(1), at(10)));
    assert_eq!(register.due_probe(at(900)), None);
    assert_eq!(register.due_probe(at(1_010)), Some(upstream(1)));
    assert_eq!(register.due_probe(at(1_500)), None);
    assert_eq!(register.due_probe(at(2_100)), Some(upstream(1)));
}

#[test]
fn the_others_are_tried_at_once_after_one_path_works_again() {
    let mut register = Register::default();
    for number in 0..5 {
        register.record_broken(&upstream(number), at(0));
    }
    let probed = register.due_probe(at(1_000)).unwrap();
    assert_eq!(
        register.record_direct(&probed, at(1_005)),
        Some(Duration::from_millis(1_005))
    );
    assert_eq!(register.count(), 4);
    for left in (0..4).rev() {
        let next = register.due_probe(at(1_010)).unwrap();
        register.record_direct(&next, at(1_010));
        assert_eq!(register.count(), left);
    }
}

#[test]
fn a_path_that_works_again_is_known_to_have_been_broken() {
    let mut register = Register::default();
    assert!(!register.was_broken(&upstream(1), at(0)));
    register.record_broken(&upstream(1), at(100));
    assert!(register.was_broken(&upstream(1), at(200)));
    register.record_direct(&upstream(1), at(300));
    assert!(register.was_broken(&upstream(1), at(300)));
    assert!(!register.was_broken(&upstream(1), at(301)));
}

proptest! {
    // Guards against probes whose number grows with the number of broken paths.
    #[test]
    fn probes_that_fail_cost_one_connect_a_second(paths in 1_usize..200, seconds in 1_u64..20) {
        let mut register = Register::default();
        for number in 0..paths {
            register.record_broken(&upstream(number), at(0));
        }
        let ticks = (0..seconds * 4).map(|tick| at(tick * 250));
        let probes = ticks.filter(|now| register.due_probe(*now).is_some()).count();
        prop_assert!(probes as u64 <= seconds);
    }
}

fn member(number: usize) -> Member {
    Member {
        vm: format!("vm-{number}").parse().unwrap(),
        zone: ["a", "b"][number % 2].parse().unwrap(),
        address: "10.0.0.1:1".parse().unwrap(),
        size: Size::default(),
    }
}

fn rank(helpers: &Helpers, members: &[Member], now: time::Moment, draw: f64) -> Vec<String> {
    let zone = "a".parse().unwrap();
    let ranked = helpers.rank(members, &zone, now, || draw);
    ranked.iter().map(|member| member.vm.to_string()).collect()
}

#[test]
fn vms_of_the_own_zone_are_asked_before_others_and_those_that_helped_before_them() {
    let members: Vec<_> = (0..4).map(member).collect();
    let mut helpers = Helpers::default();
    let order = rank(&helpers, &members, at(0), 0.9);
    assert_eq!(order, ["vm-0", "vm-2", "vm-1", "vm-3"]);
    helpers.record(&member(3).vm, Answer::Connected, at(0));
    helpers.record(&member(0).vm, Answer::None, at(0));
    let order = rank(&helpers, &members, at(1), 0.9);
    assert_eq!(order, ["vm-3", "vm-2", "vm-1", "vm-0"]);
    let order = rank(&helpers, &members, at(2_001), 0.9);
    assert_eq!(order, ["vm-3", "vm-0", "vm-2", "vm-1"]);
}

// Guards against one VM that carries the work of a whole zone.
#[test]
fn further_helpers_are_sought_while_few_are_known() {
    let members: Vec<_> = (0..6).map(member).collect();
    let mut helpers = Helpers::default();
    helpers.record(&member(0).vm, Answer::Connected, at(0));
    assert_eq!(rank(&helpers, &members, at(1), 0.9)[0], "vm-0");
    assert_eq!(rank(&helpers, &members, at(1), 0.1)[0], "vm-2");
    for number in [2, 4] {
        helpers.record(&member(number).vm, Answer::Connected, at(0));
    }
    assert_ne!(rank(&helpers, &members, at(1), 0.1)[0], "vm-1");
}

#[test]
fn vms_that_have_gone_are_forgotten() {
    let mut helpers = Helpers::default();
    helpers.record(&member(1).vm, Answer::Connected, at(0));
    helpers.retain(&[member(0)]);
    let members: Vec<_> = (0..2).map(member).collect();
    assert_eq!(rank(&helpers, &members, at(1), 0.9), ["vm-0", "vm-1"]);
}
