//! Rate limits that upstreams state.

mod allotment;
mod fleet;
mod register;
mod returns;

use rstest::rstest;

use cloverpost_core::directory::{Member, Size};
use cloverpost_core::quota::Senders;
use cloverpost_core::throttle::{Options, Rate, Register};
use cloverpost_core::{id, time};

fn at(millis: u64) -> time::Moment {
    time::Moment::from_millis(millis)
}

fn rate(per_second: f64) -> Rate {
    Rate::try_from(per_second).unwrap()
}

fn upstream() -> id::Upstream {
    "i-1".parse().unwrap()
}

fn members(count: usize) -> Vec<Member> {
    let member = |number: usize| Member {
        vm: format!("vm-{number}").parse().unwrap(),
        zone: ["a", "b", "c"][number % 3].parse().unwrap(),
        address: "10.0.0.1:1".parse().unwrap(),
        size: Size::default(),
    };
    (0..count).map(member).collect()
}

fn senders(own: usize, members: &[Member]) -> Senders {
    Senders::new(format!("vm-{own}").parse().unwrap(), members.iter())
}

/// Registers of a fleet whose VMs all know each other.
fn registers(count: usize) -> Vec<Register> {
    let members = members(count);
    let register = |own| Register::new(Options::default(), senders(own, &members));
    (0..count).map(register).collect()
}

#[rstest]
#[case("2.1", 2.1)]
#[case("0", 0.0)]
#[case("1e9", 1e9)]
fn a_rate_is_a_number_of_requests_per_second(#[case] text: &str, #[case] expected: f64) {
    let rate: Rate = text.parse().unwrap();
    assert!((rate.per_second() - expected).abs() < f64::EPSILON);
    assert_eq!(rate.to_string().parse(), Ok(rate));
}

#[rstest]
#[case("")]
#[case("-1")]
#[case("NaN")]
#[case("inf")]
#[case("2,1")]
#[case("many")]
fn other_text_is_no_rate(#[case] text: &str) {
    assert!(text.parse::<Rate>().is_err());
}
