//! Quarantine of requests that crash the upstreams that run them.
//!
//! The cause of a crash is a [`Feature`] of the requests in flight on the upstream: one request, known
//! by its [`Fingerprint`], or a [`Part`] of prompts that many requests share. Each leaves
//! [`Evidence`] under its features. One piece of evidence only marks a feature, since the crash
//! may have another cause. Several pieces from different requests or upstreams quarantine it,
//! whichever VMs reported them.
//!
//! What is in flight at crashes with other causes gathers evidence as well. Where other features
//! explain it, it is not quarantined.
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
mod feature;
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
pub use feature::Feature;
pub use fingerprint::{Fingerprint, ParseFingerprint};
pub use given_up::GivenUp;
pub use part::Part;
pub use profile::Profile;
pub use register::{Action, Options, Register};
pub use status::Status;
pub use successes::Successes;
