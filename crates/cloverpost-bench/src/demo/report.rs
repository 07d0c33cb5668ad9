//! The report of a demo run.

use std::fmt;
use std::time::Duration;

use crate::demo::Tally;

/// Results of a demo run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Attempts sent, retries included.
    pub sent: usize,
    /// Successful responses.
    pub answered: usize,
    /// Refusals.
    pub refused: usize,
    /// Time from accepting the withdrawal until it was in force on every VM.
    pub in_force: Duration,
    /// One tally per promise.
    pub tallies: Vec<Tally>,
}

impl Report {
    /// Returns whether every promise was kept.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.tallies.iter().all(Tally::is_kept)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for tally in &self.tallies {
            writeln!(f, "{tally}")?;
        }
        let Self {
            sent,
            answered,
            refused,
            in_force,
            ..
        } = self;
        writeln!(f, "{sent} sent, {answered} answered, {refused} refused")?;
        writeln!(f, "withdrawal in force everywhere after {in_force:?}")
    }
}
