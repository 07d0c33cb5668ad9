//! Staged rollout of a new version.
//!
//! Each stage gives the new version a larger share of the requests. After every digest,
//! its ratings, pooled from all VMs by [`crate::evidence`], are tested against those of
//! the replaced version with a sequential test that needs no fixed sample size.
//! [`assess()`] returns [`Verdict::Halt`], [`Verdict::Advance`] or [`Verdict::Wait`].
//!
//! A halt is a local decision: any VM that finds the evidence applies it at once and
//! broadcasts it. An advance needs a write of the [`Row`] in the table under a lease. The
//! row contains all state, so any VM can acquire the lease and resume an interrupted
//! rollout at its stage.
//!
//! After the last stage there is no replaced version to compare with: a [`Detector`] detects
//! a drop below the earlier quality of the version itself.
//!
//! Error rates with the defaults of [`Options`]: a version as good as the replaced one is
//! halted in at most 1 of 100 rollouts; one that is worse by five points or more reaches
//! full share in at most 1 of 20; a detector raises at most one false alarm in a million
//! ratings. They hold however often the tests are evaluated. The quality of the replaced
//! version is assumed known within two standard deviations.

mod assess;
mod detector;
mod halt;
mod options;
mod risk;
mod row;
mod sequential_test;

pub use assess::{Evidence, Verdict, assess, is_worse, is_worse_on_any};
pub use detector::Detector;
pub use halt::Halt;
pub use options::Options;
pub use risk::expected_losses;
pub use row::{Mark, Row, State};
