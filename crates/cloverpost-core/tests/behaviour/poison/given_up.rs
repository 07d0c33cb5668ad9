//! Attempts that were given up.

use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::directory::Upstream;
use cloverpost_core::poison::{GivenUp, Profile};
use cloverpost_core::time;

use crate::poison::fingerprint;

const EXPIRY: Duration = Duration::from_secs(1);

fn upstream(id: &str) -> Arc<Upstream> {
    Arc::new(crate::directory::upstream(id, "v1"))
}

fn at(milliseconds: u64) -> time::Moment {
    time::Moment::new(Duration::from_millis(milliseconds))
}

fn profile(request: u8) -> Profile {
    Profile {
        request: fingerprint(request),
        parts: Arc::default(),
    }
}

fn taken(given_up: &mut GivenUp, request: u8, now: time::Moment) -> Vec<String> {
    let upstreams = given_up.take(&fingerprint(request), now);
    let ids = upstreams.iter().map(|upstream| upstream.id.to_string());
    ids.collect()
}

#[test]
fn attempts_of_the_request_are_returned_once() {
    let mut given_up = GivenUp::new(8, EXPIRY);
    given_up.record(profile(1), upstream("one"), at(0));
    given_up.record(profile(2), upstream("two"), at(10));
    given_up.record(profile(1), upstream("three"), at(20));
    assert_eq!(taken(&mut given_up, 1, at(30)), ["one", "three"]);
    assert!(taken(&mut given_up, 1, at(30)).is_empty());
    assert_eq!(taken(&mut given_up, 2, at(30)), ["two"]);
}

// Guards against blaming a request for a crash long after it was given up.
#[test]
fn attempts_expire() {
    let mut given_up = GivenUp::new(8, EXPIRY);
    given_up.record(profile(1), upstream("one"), at(0));
    given_up.record(profile(1), upstream("two"), at(500));
    assert_eq!(taken(&mut given_up, 1, at(1_200)), ["two"]);
}

#[test]
fn the_oldest_attempts_are_forgotten_first() {
    let mut given_up = GivenUp::new(2, EXPIRY);
    for id in ["one", "two", "three"] {
        given_up.record(profile(1), upstream(id), at(0));
    }
    assert_eq!(taken(&mut given_up, 1, at(0)), ["two", "three"]);
}
