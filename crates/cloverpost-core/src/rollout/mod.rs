//! A new version takes over from the one it replaces, stage by stage.
//!
//! Each stage gives the new version a larger share of the requests. Its ratings,
//! pooled from all VMs by [`crate::evidence`], are tested after every digest
//! against those of the version that it replaces, without a fixed sample size:
//! [`assess()`] says [`Verdict::Halt`], [`Verdict::Advance`] or to wait.
//!
//! Stop is local, go is agreed. Any VM that finds evidence for a halt acts on it
//! at once and spreads it. The next stage begins only with a write of the
//! [`Row`] in the table, under a lease; whoever holds that lease next finds in
//! the row all that it needs to go on, so an interrupted roll-out is resumed by
//! any VM at the stage it had reached.
//!
//! After the last stage there is nothing left to compare with: a [`Watch`] looks
//! for a drop below what the version itself had shown.
//!
//! Stated rates, for the defaults of [`Options`]: a version as good as the one
//! it replaces is halted in at most 1 of 100 roll-outs; one that is worse by five
//! points or more reaches full share in at most 1 of 20; a watch raises at most
//! one false alarm in a million ratings. They hold at whatever moments the test
//! is made. The rate of the replaced version is taken as known within two
//! standard deviations.

mod assess;
mod halt;
mod options;
mod row;
mod test;
mod watch;

pub use assess::{Evidence, Verdict, assess, is_worse, is_worse_on_any};
pub use halt::Halt;
pub use options::Options;
pub use row::{Mark, Row, State};
pub use watch::Watch;
