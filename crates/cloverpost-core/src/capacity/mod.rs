//! Autoscaling of the replicas of a version.
//!
//! A sleeping replica costs nothing but takes minutes to wake, because weights are transferred
//! sequentially from a store of limited bandwidth. Replicas are therefore woken for the demand
//! that a [`Forecast`] predicts for the time they are ready. They are put to sleep once keeping
//! them awake has cost as much as a wake-up, which is 2-competitive with the optimal offline
//! policy.
//!
//! [`Autoscaler::target`] returns an absolute number rather than a change, so that applying a
//! repeated command has no further effect, and a delayed one of a former lease holder is corrected
//! by the next command.

mod autoscaler;
mod forecast;
mod options;

pub use autoscaler::Autoscaler;
pub use forecast::Forecast;
pub use options::Options;
