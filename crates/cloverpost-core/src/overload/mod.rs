//! Overload control.
//!
//! A [`Limiter`] per pool finds the concurrency at which queueing delay starts to grow
//! and keeps the VM there, so that requests queue on the VM, where their classes are
//! known, rather than in the engine. A [`Queue`] per pool holds the excess requests: it
//! serves the most valuable class first, sheds the least valuable first, and drops
//! requests that can no longer meet their deadline before they reach an upstream. An
//! [`Estimator`] estimates how long an answer takes, which decides whether a request
//! can still meet its deadline.
//!
//! The limiter and the estimator belong to the control thread, which publishes the limit
//! through [`crate::choice::Upstream::set_limit`].

mod estimator;
mod limiter;
mod queue;
mod sample;
mod upstream_state;

pub use estimator::Estimator;
pub use limiter::{Limiter, Options};
pub use queue::{Offer, Queue, Ticket};
pub use sample::Sample;
