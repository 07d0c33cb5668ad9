//! Requests to write a row.

use bytes::Bytes;
use cloverpost_core::claim::Precondition;
use cloverpost_platform::{fault, table};
use tokio::sync::oneshot;

use crate::claim::group::gate;
use crate::claim::scoped_key;

/// A request to write one row.
#[derive(Debug)]
pub struct WriteRequest {
    /// Identifies the row.
    pub scoped_key: scoped_key::ScopedKey,
    /// Condition of the write.
    pub expect: Precondition,
    /// Whether it takes a claim, which the manifest must list.
    pub claims: bool,
    /// New value; `None` deletes the row.
    pub value: Option<Bytes>,
    /// Decides between sending and cancelling the request.
    pub gate: gate::Gate,
    /// Receives the result.
    pub reply: oneshot::Sender<Result<table::Outcome, fault::Fault>>,
}

impl WriteRequest {
    /// Returns the request unless it was cancelled. It can no longer be cancelled
    /// afterwards.
    pub fn admit(self) -> Option<Self> {
        self.gate.pass().then_some(self)
    }

    /// Sends the result. The receiver may have been dropped.
    pub fn answer(self, answer: Result<table::Outcome, fault::Fault>) {
        let _ = self.reply.send(answer);
    }

    /// The table write of the request.
    pub fn write(&self) -> table::Write {
        table::Write {
            key: self.scoped_key.row(),
            condition: match self.expect {
                Precondition::Absent => table::Condition::Absent,
                Precondition::Version(version) => table::Condition::Version(version),
            },
            value: self.value.clone(),
        }
    }

    /// Whether its condition holds for `row`.
    pub fn holds(&self, row: Option<&table::Row>) -> bool {
        match self.expect {
            Precondition::Absent => row.is_none(),
            Precondition::Version(version) => row.is_some_and(|row| row.version == version),
        }
    }
}
