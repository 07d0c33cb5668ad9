//! Completes claims.

use bytes::Bytes;
use cloverpost_platform::{objects, table};

use crate::claim::job::{Progress, Resolution};
use crate::claim::{Claims, Liveness, Ticket};

impl<T, O, L> Claims<T, O, L>
where
    T: table::Table,
    O: objects::Objects,
    L: Liveness,
{
    /// Stores the answer of a request that ran and waits for at most
    /// [`Options::timeout`]. The answer may be returned to the caller whatever the
    /// result.
    ///
    /// [`Options::timeout`]: crate::claim::Options::timeout
    pub async fn complete(&self, ticket: Ticket, response: &http::Response<Bytes>) -> Progress {
        let pending = self.0.answers.prepare(response);
        self.wait(ticket.resolve(Resolution::Done(pending))).await
    }

    /// Records that a dispatched request has no complete answer and waits for at most
    /// [`Options::timeout`]. Retries with its key are refused because the outcome is
    /// unknown.
    ///
    /// [`Options::timeout`]: crate::claim::Options::timeout
    pub async fn mark_unknown(&self, ticket: Ticket) -> Progress {
        self.wait(ticket.resolve(Resolution::Unknown)).await
    }
}
