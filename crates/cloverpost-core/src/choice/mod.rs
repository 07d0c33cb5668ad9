//! Choice of an upstream by load reports and affinity.
//!
//! Load reports lag by seconds and reach every VM at about the same time, so choosing the least
//! reported load would cause herding: all VMs would use the same upstream until the next report.
//! [`choose`] compares two random upstreams instead. Its load estimate discounts reports by age
//! and always includes this VM's own requests in flight.
//!
//! Requests that share a prompt prefix or a session prefer one upstream, determined by rendezvous
//! hashing. VMs agree on it without coordination, and removing an upstream remaps only its own
//! keys. The preference does not apply to an upstream above its load bound.
//!
//! Counters are atomic and nothing here allocates, so traffic threads share the upstreams without
//! a lock.

mod affinity;
mod choose;
mod estimate;
mod options;
mod report;
mod upstream;

pub use affinity::Affinity;
pub use choose::choose;
pub use options::Options;
pub use report::Report;
pub use upstream::Upstream;
