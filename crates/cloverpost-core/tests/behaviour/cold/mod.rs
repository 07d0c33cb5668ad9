//! Rate limiting of upstreams that have just started.

use std::time::Duration;

use cloverpost_core::cold::{Limit, Options, Register};
use cloverpost_core::directory::{
    Configuration, Evacuation, Exceptions, Image, Member, Row, Service, Size, Upstream, Version,
    View,
};
use cloverpost_core::quota::Senders;
use cloverpost_core::time;
use proptest::prelude::*;
use rstest::rstest;

use super::directory::upstream;

/// Stated rate of a cold upstream, in requests per second.
const RATE: f64 = 18.0;
/// Requests per second that it tolerates with `OPTIONS`.
const MAX_RATE: usize = 32;
const OPTIONS: Options = Options {
    overage: 1.5,
    slack: 5.0,
};
const COLD_MS: u64 = 3_000;
const COLD: Duration = Duration::from_millis(COLD_MS);

#[rstest]
#[case(18.0, 3, 4)]
#[case(40.0, 3, 8)]
#[case(2.0, 3, 1)]
#[case(0.0, 1, 1)]
fn the_limit_allows_for_two_membership_views(
    #[case] rate: f64,
    #[case] senders: usize,
    #[case] per_sender: usize,
) {
    assert_eq!(
        Limit::new(rate, &OPTIONS),
        Limit {
            senders,
            per_sender
        }
    );
}

#[test]
fn a_rate_of_zero_allows_no_requests() {
    let limit = Limit::new(0.0, &Options::default());
    assert_eq!(limit.senders * limit.per_sender, 0);
}

fn member(number: usize) -> Member {
    Member {
        vm: format!("vm-{number}").parse().unwrap(),
        zone: ["a", "b", "c"][number % 3].parse().unwrap(),
        address: "10.0.0.1:1".parse().unwrap(),
        size: Size::default(),
    }
}

fn at(millis: u64) -> time::Moment {
    time::Moment::from_millis(millis)
}

fn row<T>(value: T) -> Row<T> {
    Row {
        version: Version::new(1),
        value,
    }
}

/// A view of upstreams in zone `a`, each with the time for which it is cold.
fn view(upstreams: &[(&str, Duration)], evacuated: bool) -> View {
    let mut image = Image::default();
    let service = Service {
        name: "app".parse().unwrap(),
        max_connections: 100,
        cold_time: COLD,
        cold_rate: RATE,
        models: Vec::new(),
        memory_tokens: 0,
    };
    let configuration = Configuration {
        services: vec![service],
        ..Configuration::default()
    };
    image
        .configuration
        .rows
        .insert("config".to_owned(), row(configuration));
    for (id, cold) in upstreams {
        let one = Upstream {
            cold: *cold,
            ..upstream(id, "v1")
        };
        image.upstreams.rows.insert((*id).to_owned(), row(one));
    }
    if evacuated {
        let evacuation = Evacuation {
            zone: "a".parse().unwrap(),
        };
        image
            .evacuations
            .rows
            .insert("a".to_owned(), row(evacuation));
    }
    View::new(&image, &Exceptions::default(), &View::default())
}

/// Register of the VM `number` among `members` after `views`, applied 1 ms apart.
fn register(number: usize, members: &[Member], views: &[View]) -> Register {
    let senders = Senders::new(member(number).vm, members.iter());
    let mut register = Register::new(OPTIONS, senders);
    let mut last = View::default();
    for (millis, view) in (0..).zip(views) {
        register.apply_view(&last, view, at(millis));
        last = view.clone();
    }
    register
}

/// Maximum number of sends in any second; `sent` holds their times in milliseconds.
fn max_per_second(sent: &[u64]) -> usize {
    let within = |from: u64| {
        sent.iter()
            .filter(move |one| (from..from + 1000).contains(*one))
    };
    let counts = sent.iter().map(|from| within(*from).count());
    counts.max().unwrap_or_default()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// The limit holds under overload even if VMs have different membership views.
    #[test]
    fn a_cold_upstream_is_not_overloaded_under_differing_membership_views(
        vms in 1_usize..80,
        missing in 0_usize..40,
        intervals in prop::collection::vec(3_usize..400, 80),
    ) {
        let all: Vec<_> = (0..vms).map(member).collect();
        let older = &all[..vms - missing.min(vms - 1)];
        let cold = view(&[("i-1", COLD)], false);
        let id = upstream("i-1", "v1").id;
        let mut sent = Vec::new();
        for (number, interval) in intervals.iter().take(vms).enumerate() {
            let list = if number % 2 == 0 { &all[..] } else { older };
            let mut register = register(number, list, std::slice::from_ref(&cold));
            for millis in (0..COLD_MS).step_by(*interval) {
                if register.admits(&id, at(millis)) {
                    register.record_send(&id, at(millis));
                    sent.push(millis);
                }
            }
        }
        prop_assert!(max_per_second(&sent) <= MAX_RATE, "{} in a second", max_per_second(&sent));
        prop_assert!(!sent.is_empty(), "no VM sends");
    }
}

#[test]
fn an_upstream_is_warm_after_its_cold_time() {
    let register = register(
        0,
        &[],
        &[view(&[("i-1", COLD), ("i-2", Duration::ZERO)], false)],
    );
    let (cold, warm) = (upstream("i-1", "v1").id, upstream("i-2", "v1").id);
    assert!(!register.admits(&cold, at(2_900)));
    assert!(register.admits(&warm, at(0)));
    assert!(register.admits(&cold, at(3_000)));
}

#[test]
fn upstreams_of_a_reinstated_zone_are_cold() {
    // Directory entries mark the upstreams of a reinstated zone as cold only with a delay, in which
    // all VMs would send to them.
    let warm = [("i-1", Duration::ZERO)];
    let views = [view(&warm, false), view(&warm, true), view(&warm, false)];
    let id = upstream("i-1", "v1").id;
    let register = register(0, &[], &views);
    assert!(!register.admits(&id, at(100)));
    assert!(register.admits(&id, at(3_010)));
}

#[test]
fn a_suspected_upstream_is_cold_from_its_next_response() {
    // A restarted process must not be overloaded by VMs that do not have its new entry yet.
    let members: Vec<_> = (0..9).map(member).collect();
    let one = upstream("i-1", "v1");
    let suspecting = |number| {
        let mut register = register(number, &members, &[view(&[("i-1", Duration::ZERO)], false)]);
        register.suspect(&one, at(1_000));
        register
    };
    let admitted = (0..9).filter(|number| suspecting(*number).admits(&one.id, at(2_000)));
    assert_eq!(admitted.count(), 3);
    let sender = (0..9).find(|number| suspecting(*number).admits(&one.id, at(2_000)));
    let mut register = suspecting(sender.unwrap());
    register.record_response(&one.id, at(2_000));
    (0..4).for_each(|_| register.record_send(&one.id, at(2_001)));
    assert!(!register.admits(&one.id, at(2_500)));
    assert!(register.admits(&one.id, at(5_100)));
}

#[test]
fn a_suspected_upstream_is_a_last_resort_and_a_cold_one_is_not() {
    // A network fault of one VM makes all its upstreams suspected; requests must not be refused
    // until the suspicions expire.
    let known_cold = register(0, &[], &[view(&[("i-1", COLD)], false)]);
    let one = upstream("i-1", "v1");
    assert!(!known_cold.admits_as_last_resort(&one.id, at(1)));
    let mut register = register(0, &[], &[view(&[("i-1", Duration::ZERO)], false)]);
    register.suspect(&one, at(1));
    assert!(!register.admits(&one.id, at(2)));
    assert!(register.admits_as_last_resort(&one.id, at(2)));
}

#[test]
fn an_entry_of_a_new_process_clears_a_suspicion() {
    let mut register = register(0, &[], &[view(&[("i-1", Duration::ZERO)], false)]);
    let one = upstream("i-1", "v1");
    register.suspect(&one, at(1));
    let last = view(&[], false);
    register.apply_view(&last, &view(&[("i-1", Duration::ZERO)], false), at(2));
    assert!(register.admits(&one.id, at(3)));
}
