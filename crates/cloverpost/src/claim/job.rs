//! Jobs that settle claims.

use cloverpost_core::claim::{self, settle};
use tokio::sync::{self, oneshot};

use crate::claim::{answer, scoped_key};

/// Progress of settling a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// The row was written.
    Settled,
    /// The row was absent or belongs to another claim.
    Superseded,
    /// Settling continues in the background.
    Pending,
}

/// The result that settles a granted claim.
#[derive(Debug)]
pub enum Resolution {
    /// The request did not run.
    Released,
    /// The request may have run, but there is no complete answer.
    Unknown,
    /// The request ran and returned this answer.
    Done(answer::PendingAnswer),
}

/// Work to be done for a claim.
#[derive(Debug)]
pub enum Work {
    /// Settle a granted claim.
    Finish {
        /// Row of the claim.
        row: claim::Row,
        /// Version of the row when the claim was granted.
        version: u64,
        /// Result of the request.
        resolution: Resolution,
    },
    /// Release the row of a claim that was abandoned while its write was in doubt.
    Abandon(settle::Settle),
}

/// A claim to settle.
#[derive(Debug)]
pub struct Job {
    /// Identifies the row.
    pub scoped_key: scoped_key::ScopedKey,
    /// Work to be done.
    pub work: Work,
    /// Permit of the open claim, returned once it is settled.
    pub permit: sync::OwnedSemaphorePermit,
    /// Receives the progress.
    pub done: Option<oneshot::Sender<Progress>>,
}
