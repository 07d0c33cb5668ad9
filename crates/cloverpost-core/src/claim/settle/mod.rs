//! Settling a claim: storing the answer in its row, or releasing the key.
//!
//! Only the claimant settles its claim. It retries through any outage, because
//! repeated requests are refused as long as the row is running.

mod step;

use std::time::Duration;

use crate::claim::{self, Precondition};

/// Result of settling a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The row is in the requested state, or the released key was claimed again.
    Settled,
    /// The row is absent, cannot be decoded, or holds another claim or final state.
    Superseded,
}

/// Result of the last action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The write took effect.
    Written,
    /// The condition of the write did not hold.
    Conflict,
    /// The read or write failed; a write may have taken effect.
    Failed,
    /// The row was read.
    Read(Option<claim::VersionedRow>),
    /// The row was read but could not be decoded.
    Unreadable,
}

/// The next action for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the row after a delay.
    Write {
        /// Delay before the write.
        after: Duration,
        /// Condition of the write.
        expect: Precondition,
        /// Row to write.
        row: claim::Row,
    },
    /// Read the row after a delay.
    Read {
        /// Delay before the read.
        after: Duration,
    },
    /// Settling has ended.
    Finish(Outcome),
}

/// Why the claim is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// The claim was granted.
    Granted,
    /// The claim was abandoned while its write might still take effect.
    Abandoned,
}

/// The operation to retry after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attempt {
    Write(Precondition),
    Read,
}

/// An attempt to settle a claim.
#[derive(Clone, Debug)]
pub struct Settle {
    /// The row in its target state.
    row: claim::Row,
    mode: Mode,
    attempt: Attempt,
    backoff: claim::Backoff,
}

impl Settle {
    /// Settles the granted claim of `row`, last read at `version`, to `target`.
    #[must_use]
    pub fn new(row: &claim::Row, version: u64, target: claim::State) -> Self {
        Self {
            row: row.with_state(target),
            mode: Mode::Granted,
            attempt: Attempt::Write(Precondition::Version(version)),
            backoff: claim::Backoff::default(),
        }
    }

    /// Releases a claim that was not granted but whose write may take effect.
    #[must_use]
    pub(crate) fn abandon(row: &claim::Row) -> Self {
        Self {
            row: row.with_state(claim::State::Released),
            mode: Mode::Abandoned,
            attempt: Attempt::Read,
            backoff: claim::Backoff::default(),
        }
    }

    /// The first action.
    #[must_use]
    pub fn start(&self) -> Action {
        self.after(Duration::ZERO)
    }

    fn after(&self, after: Duration) -> Action {
        match self.attempt {
            Attempt::Read => Action::Read { after },
            Attempt::Write(expect) => Action::Write {
                after,
                expect,
                row: self.row.clone(),
            },
        }
    }
}
