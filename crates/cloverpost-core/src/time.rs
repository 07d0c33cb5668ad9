//! Monotonic and wall-clock time.
//!
//! A [`Moment`] comes from the monotonic clock of one VM and is not comparable across
//! VMs. Messages between VMs carry [`std::time::Duration`]s, or [`Timestamp`]s where the time
//! is informational.

mod moment;
mod timestamp;

pub use moment::Moment;
pub use timestamp::Timestamp;
