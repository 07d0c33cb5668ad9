//! Persistent state of a rollout.

use crate::evidence;
use crate::id;
use crate::rollout::{Evidence, Options};

/// Progress of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The new version has the share of the current stage.
    Running,
    /// The new version is worse and gets no requests.
    Halted,
    /// The new version gets all requests.
    Done,
}

/// Counts at the start of a stage. Only later ratings are tested, so that good ratings of
/// earlier stages cannot mask a regression.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Mark {
    /// Ratings of the new version.
    pub new: evidence::Counts,
    /// Ratings of the replaced version.
    pub old: evidence::Counts,
}

/// State from which any VM can resume a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// The new version.
    pub entry: id::Entry,
    /// The replaced version.
    pub replaces: id::Entry,
    /// Index into [`Options::shares`].
    pub stage: usize,
    /// Progress of the rollout.
    pub state: State,
    /// Counts at the start of the stage.
    pub mark: Mark,
}

impl Row {
    /// Creates a rollout at its first stage, with the ratings known so far.
    #[must_use]
    pub const fn new(entry: id::Entry, replaces: id::Entry, known: Evidence) -> Self {
        Self {
            entry,
            replaces,
            stage: 0,
            state: State::Running,
            mark: Mark {
                new: known.new,
                old: known.old,
            },
        }
    }

    /// Returns the fraction of the requests, from 0 to 1, that the new version gets.
    #[must_use]
    pub fn share(&self, options: &Options) -> f64 {
        match self.state {
            State::Running => options.shares.get(self.stage).copied().unwrap_or(1.0),
            State::Halted => 0.0,
            State::Done => 1.0,
        }
    }

    /// Returns the ratings since the start of the stage.
    ///
    /// If `known` is below the mark, the VMs with the missing ratings are gone. The test
    /// then restarts with the remaining ratings, without skipping a stage.
    #[must_use]
    pub fn since_mark(&self, known: Evidence) -> Evidence {
        Evidence {
            new: known.new.saturating_sub(self.mark.new),
            old: known.old.saturating_sub(self.mark.old),
        }
    }

    /// Returns the row after an advance, to be written under the lease.
    #[must_use]
    pub fn advanced(&self, known: Evidence, options: &Options) -> Self {
        let stage = self.stage + 1;
        let last = stage + 1 >= options.shares.len();
        Self {
            stage,
            state: if last { State::Done } else { self.state },
            mark: Mark {
                new: known.new,
                old: known.old,
            },
            ..self.clone()
        }
    }

    /// Returns the row after a halt. Idempotent.
    #[must_use]
    pub fn halted(&self) -> Self {
        Self {
            state: State::Halted,
            ..self.clone()
        }
    }
}
