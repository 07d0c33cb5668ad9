//! The right to dispatch a claimed request.

use cloverpost_core::claim;
use tokio::sync::{self, mpsc, oneshot};

use crate::claim::job::{self, Job, Progress, Resolution, Work};
use crate::claim::scoped_key;

/// The right to dispatch a claimed request, once.
///
/// It is passed to `Claims::release` or `Claims::complete`. When a client disconnects,
/// the task that owns the ticket may be cancelled at any point. Dropping the ticket
/// therefore settles its row, as released before [`Ticket::dispatch`] and as unknown
/// after it.
#[derive(Debug)]
pub struct Ticket {
    grant: Option<Grant>,
    dispatched: bool,
    jobs: mpsc::UnboundedSender<Job>,
}

/// A granted claim.
#[derive(Debug)]
pub(super) struct Grant {
    pub scoped_key: scoped_key::ScopedKey,
    pub row: claim::Row,
    pub version: u64,
    pub permit: sync::OwnedSemaphorePermit,
}

impl Ticket {
    pub(super) const fn new(grant: Grant, jobs: mpsc::UnboundedSender<Job>) -> Self {
        Self {
            grant: Some(grant),
            dispatched: false,
            jobs,
        }
    }

    /// Records that the request is dispatched. Call it before the first byte may be sent
    /// to an upstream.
    pub const fn dispatch(&mut self) {
        self.dispatched = true;
    }

    /// Queues the claim to be settled with `resolution`.
    pub(super) fn resolve(mut self, resolution: Resolution) -> oneshot::Receiver<Progress> {
        let (done, progress) = oneshot::channel();
        self.enqueue(resolution, Some(done));
        progress
    }

    fn enqueue(&mut self, resolution: Resolution, done: Option<oneshot::Sender<Progress>>) {
        let Some(grant) = self.grant.take() else {
            return;
        };
        let Grant {
            scoped_key,
            row,
            version,
            permit,
        } = grant;
        let job = job::Job {
            scoped_key,
            work: Work::Finish {
                row,
                version,
                resolution,
            },
            permit,
            done,
        };
        // The receiver is dropped only when the settler was aborted or the runtime has
        // shut down.
        let _ = self.jobs.send(job);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let resolution = if self.dispatched {
            Resolution::Unknown
        } else {
            Resolution::Released
        };
        self.enqueue(resolution, None);
    }
}
