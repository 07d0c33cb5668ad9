//! Quarantine of requests that crash the upstreams that run them.
//!
//! A request in flight on an upstream that crashed leaves [`Evidence`] under its
//! [`Fingerprint`]. One piece of evidence only marks the request, since the crash
//! may have been caused by another request on the same upstream. Several pieces from
//! different requests or upstreams quarantine it, whichever VMs reported them.
//!
//! Requests that are in flight at the crashes of others gather evidence as well. Where other
//! requests explain it, they are not quarantined.
//!
//! Each VM keeps a [`Register`]. Evidence is replicated as [`Fact`]s, and each VM
//! counts it independently. Facts may be duplicated, delayed and reordered: a
//! piece of evidence is absent, live, expired or lifted, and only moves forward
//! through these states, which makes the merge idempotent and commutative.
//!
//! An upstream should run at most one marked request at a time. Otherwise other
//! marked requests that share its second crash are quarantined with it.

mod crash;
mod evidence;
mod explanation;
mod fact;
mod fingerprint;
mod given_up;
mod lift;
mod merge;
mod part;
mod profile;
mod record;
mod register;
mod status;
mod successes;

pub use evidence::Evidence;
pub use fact::{Fact, Lift, Mark};
pub use fingerprint::{Fingerprint, ParseFingerprint};
pub use given_up::GivenUp;
pub use part::Part;
pub use profile::Profile;
pub use register::{Action, Options, Register};
pub use status::Status;
pub use successes::Successes;
