//! Releases claims.

use cloverpost_platform::{objects, table};
use tokio::sync::oneshot;
use tokio::time;

use crate::claim::job::{Progress, Resolution};
use crate::claim::{Claims, Liveness, Ticket};

impl<T, O, L> Claims<T, O, L>
where
    T: table::Table,
    O: objects::Objects,
    L: Liveness,
{
    /// Releases the key of a request that did not run and waits for at most
    /// `Options::timeout`.
    pub async fn release(&self, ticket: Ticket) -> Progress {
        self.wait(ticket.resolve(Resolution::Released)).await
    }

    /// Waits for a claim to be settled. Settling continues in the background if this
    /// times out or is cancelled.
    pub(super) async fn wait(&self, progress: oneshot::Receiver<Progress>) -> Progress {
        let answer = time::timeout(self.0.options.timeout, progress).await;
        answer.map_or(Progress::Pending, |done| done.unwrap_or(Progress::Pending))
    }
}
