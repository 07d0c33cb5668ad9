//! Whether a small model's answer is dropped for a larger model's.
//!
//! A model states an opinion of its own answer before anything of it has reached the
//! caller. A larger model asked in its place answers better, but is paid for, takes
//! engines ten times as long, and begins later. [`weigh`] holds what the answer would
//! gain against all three. The load enters by the time that this very request has
//! waited: where a short question to a small model took long, a long one to a large
//! model takes longer, and everybody else's behind it.
//!
//! Fewer second questions are better under load, more while engines are idle, so no
//! fixed opinion below which the larger model is asked does for both: over 18 plays of
//! days with and without trouble, asking below 20 in place of 60 earned 0.08 less of the
//! credit that was owed, and left little over half as many requests unserved.

mod case;
mod options;
mod returns;
mod sizes;
mod weighed;

pub use case::Case;
pub use options::Options;
pub use returns::Returns;
pub use sizes::Sizes;
pub use weighed::{Weighed, weigh};
