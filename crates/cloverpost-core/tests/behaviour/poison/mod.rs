//! Quarantine of requests that crash upstreams.

mod explained;
mod given_up;
mod merge;
mod parts;
mod quarantine;
mod successes;

use std::time::Duration;

use cloverpost_core::poison::{Action, Evidence, Fact, Feature, Fingerprint, Options, Register};
use cloverpost_core::time;

const EXPIRY: Duration = Duration::from_mins(1);

fn register() -> Register {
    Register::new(Options {
        expiry: EXPIRY,
        ..Options::default()
    })
}

fn at(seconds: u64) -> time::Moment {
    time::Moment::new(Duration::from_secs(seconds))
}

fn fingerprint(number: u8) -> Fingerprint {
    let organisation = "harrowgate".parse().expect("valid name");
    Fingerprint::of(&organisation, &[number])
}

fn feature(number: u8) -> Feature {
    fingerprint(number).into()
}

fn crash(request: u8, upstream: u8) -> Evidence {
    Evidence {
        request: format!("{request:x}").parse().expect("valid request id"),
        upstream: format!("engine-{upstream}").parse().expect("valid name"),
    }
}

/// The facts that `actions` broadcast.
fn broadcast_facts(actions: Vec<Action>) -> Vec<Fact> {
    let fact = |action| match action {
        Action::Broadcast(fact) => Some(fact),
        Action::Quarantined(_) | Action::Confirmed(_) | Action::Released(_) => None,
    };
    actions.into_iter().filter_map(fact).collect()
}
