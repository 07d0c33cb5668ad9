//! Selection of the version, or the cascade of two versions, that serves a request.
//!
//! A version is identified by its entry in the catalogue. A [`Plan`] is a single version or
//! a cascade: a cheap version answers, the answer is rated, and a more expensive version
//! answers only if it fails. [`select()`] returns the plan with the lowest expected cost
//! whose quality, by a lower confidence bound, meets the target of the class within its
//! time limit.
//!
//! Ratings are sampled, delayed and sometimes missing; a missing rating counts neither as
//! a pass nor as a fail. [`Rater`] detects within a few requests that verdicts do not
//! arrive. Cascades, which need a verdict for each request, are then not selected until
//! verdicts arrive again; the quality estimates are kept. Latency-first classes never
//! wait for a verdict.
//!
//! Versions with too few ratings serve only a small fraction of the requests, with an
//! established version as fallback if the time limit allows it.

mod candidate;
mod draw;
mod estimate;
mod estimates;
mod goal;
mod rater;
mod select;

pub use candidate::Candidate;
pub use draw::{Attempt, Selection, Trial};
pub use estimate::Estimate;
pub use estimates::Estimates;
pub use goal::Goal;
pub use rater::Rater;
pub use select::{Options, Plan, select};
