//! Taking a claim.
//!
//! The write that takes a claim is conditional, so only one of several concurrent
//! attempts succeeds. If the response to the write is lost, the row is read back,
//! and its claimant and request identify the attempt that wrote it.

mod error;
mod step;

pub use error::Error;

use std::time::Duration;

use crate::claim::{self, Precondition};
use crate::refusal;
use crate::time;

/// Result of a successful attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request may be dispatched, once.
    Granted {
        /// Version of the claim's row.
        version: u64,
    },
    /// The request ran before and returned this answer.
    Replayed(claim::Answer),
}

/// Result of the last action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The write took effect.
    Written,
    /// The condition of the write did not hold.
    Conflict,
    /// The write failed.
    Failed {
        /// Whether it may have taken effect or may still do so.
        is_indeterminate: bool,
    },
    /// The row was read.
    Read(Option<claim::VersionedRow>),
    /// The read failed.
    ReadFailed,
    /// The row was read but could not be decoded.
    Unreadable,
}

/// The next action for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the row.
    Write {
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
    /// The attempt has ended.
    Finish(Result<Outcome, Error>),
}

/// Purpose of the current write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Claim the key.
    Claim,
    /// Mark the claim of a dead claimant as having an unknown outcome.
    MarkUnknown,
}

/// An attempt to take a claim.
#[derive(Clone, Debug)]
pub struct Take {
    /// The row to write, in state running.
    row: claim::Row,
    /// Time after which failures of the table are not retried.
    deadline: time::Moment,
    /// Condition of the last write that claims the key.
    expect: Precondition,
    phase: Phase,
    /// The write under `expect` may have taken effect or may still do so.
    in_doubt: bool,
    /// A write conflicted, and the row has not been read successfully since.
    conflict_unread: bool,
    backoff: claim::Backoff,
}

impl Take {
    /// Creates an attempt to write `row`, whose state is running. Failures of the
    /// table are not retried after `deadline`.
    #[must_use]
    pub fn new(row: claim::Row, deadline: time::Moment) -> Self {
        Self {
            row,
            deadline,
            expect: Precondition::Absent,
            phase: Phase::Claim,
            in_doubt: false,
            conflict_unread: false,
            backoff: claim::Backoff::default(),
        }
    }

    /// The first action.
    #[must_use]
    pub fn start(&self) -> Action {
        Action::Write {
            expect: self.expect,
            row: self.row.clone(),
        }
    }

    /// Returns the clean-up for a write that may have taken effect although the
    /// claim was not granted.
    ///
    /// Without it the row would stay running as long as this process lives, and
    /// all requests with the key would be refused.
    #[must_use]
    pub fn abandon(&self) -> Option<claim::settle::Settle> {
        self.in_doubt
            .then(|| claim::settle::Settle::abandon(&self.row))
    }

    /// Ends an attempt that the table did not answer.
    ///
    /// This attempt dispatched nothing. After a conflict, another request holds
    /// the key and may have run.
    fn unavailable(&self) -> Action {
        let ran = if self.conflict_unread {
            refusal::Ran::Unknown
        } else {
            refusal::Ran::No
        };
        Action::Finish(Err(Error::Unavailable { ran }))
    }
}
