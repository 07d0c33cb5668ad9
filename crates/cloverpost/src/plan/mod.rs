//! Plans and ratings of a running VM.
//!
//! Traffic threads read [`Selections`] from the snapshot and pass complete answers
//! to [`Ratings`] without blocking. The [`rating_worker`] calls the rater. The
//! [`Planner`] on the control thread aggregates verdicts, exchanges the counts with
//! peers and recomputes the selections.

mod event;
mod halted;
mod planner;
mod rating_request;
pub mod rating_worker;
mod ratings;
mod seed_sequence;
mod selections;

pub use event::Event;
pub use halted::Halted;
pub use planner::{Options, Planner};
pub use rating_request::RatingRequest;
pub use ratings::Ratings;
pub use selections::Selections;
