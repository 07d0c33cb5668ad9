//! Events for the planner.

use std::time::Duration;

use cloverpost_core::{evidence, id, rollout};

/// An event for the [`Planner`](crate::plan::Planner).
#[derive(Debug)]
pub enum Event {
    /// An entry completed an answer.
    Answered {
        /// The entry.
        entry: id::Entry,
        /// Time from the selection of the entry to the last byte.
        took: Duration,
    },
    /// The rater returned a verdict.
    Rated {
        /// Key that the verdict counts towards.
        key: evidence::Key,
        /// Whether the answer passed.
        passed: bool,
        /// Response time of the rater.
        took: Duration,
    },
    /// The rater failed or timed out.
    RatingFailed,
    /// A peer sent its counts.
    PeerCounts(id::Vm, evidence::Digest),
    /// A peer halted versions.
    PeerHalts(Vec<rollout::Halt>),
}
