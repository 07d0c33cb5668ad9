//! Limits of an organisation, split among the VMs.
//!
//! A VM admits requests up to its share without contacting others. Shares follow demand:
//! a VM with a surplus transfers units by recording the transfer in its own [`Row`], and
//! the receiver adds them when it reads that row. Units in transit belong to neither, so
//! the shares never sum to more than the limit while the VMs agree on the membership,
//! however late or often rows arrive.
//!
//! A membership change starts a new [`Generation`] with equal shares. A VM lowers its
//! share at once, but raises it only after [`Options::raise_delay`], by which time all other VMs
//! have seen the generation and lowered theirs.
//!
//! The shares do not overshoot the limit if every VM learns of a new generation within
//! that delay. Otherwise the overshoot is bounded by the shares of the VMs that did not,
//! until they stop serving. A [`Bucket`] adds its burst after a period of lower demand: a
//! fixed time's worth of the rate, or two requests per VM if that is more.

mod bucket;
mod entitlements;
mod gate;
mod generation;
mod options;
mod row;
mod split;

pub use bucket::{Bucket, UNITS_PER_REQUEST};
pub use gate::Gate;
pub use generation::Generation;
pub use options::Options;
pub use row::Row;
pub use split::Split;
