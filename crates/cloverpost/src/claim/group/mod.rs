//! Groups concurrent writes of rows into transactions.
//!
//! An idle VM writes a row immediately. Requests that arrive while the maximum number
//! of transactions is in flight, or within an interval of the start of the last one, are
//! batched into the next. This limits the rate of transactions of a VM unless they are
//! full.
//!
//! Transactions are atomic, so one row whose precondition fails makes the whole batch
//! conflict. The rows are then read, requests whose precondition fails are rejected, and
//! the others are retried.

mod batch;
mod commit;
mod gate;
mod request;

pub use gate::Gate;
pub use request::WriteRequest;

use std::collections;
use std::sync::Arc;

use cloverpost_core::claim;
use cloverpost_platform::table;
use tokio::sync::{self, mpsc};
use tokio::{task, time};

use crate::claim::{Counters, Options, manifest};
use crate::clock;

/// Writes rows in batches.
#[derive(Debug)]
pub struct Group<T> {
    committer: commit::Committer<T>,
    manifest_keys: manifest::KeyGenerator,
    /// Requests that did not fit into an earlier batch.
    deferred: collections::VecDeque<WriteRequest>,
    /// Earliest start of the next transaction.
    due: time::Instant,
    options: Options,
}

impl<T: table::Table> Group<T> {
    /// Creates a writer for the rows of `claimant`.
    pub fn new(table: T, claimant: claim::Claimant, counters: Counters, options: Options) -> Self {
        Self {
            committer: commit::Committer::new(table, counters, options.call_timeout),
            manifest_keys: manifest::KeyGenerator::new(claimant),
            deferred: collections::VecDeque::new(),
            due: time::Instant::now(),
            options,
        }
    }

    /// Writes requests until the queue is closed and all of them are answered.
    pub async fn run(mut self, mut queue: mpsc::Receiver<WriteRequest>) {
        let slots = Arc::new(sync::Semaphore::new(
            self.options.max_transactions_in_flight,
        ));
        let mut commits = task::JoinSet::new();
        loop {
            while commits.try_join_next().is_some() {}
            let slot = Arc::clone(&slots).acquire_owned().await;
            let Ok(slot) = slot else { break };
            let Some(first) = self.first(&mut queue).await else {
                break;
            };
            let batch = self.collect(first, &mut queue).await;
            self.due = time::Instant::now() + self.options.interval;
            let manifest_key = self.manifest_keys.next(clock::stamp());
            let committer = self.committer.clone();
            commits.spawn(async move {
                committer.run(batch, manifest_key).await;
                drop(slot);
            });
        }
        while commits.join_next().await.is_some() {}
    }

    async fn first(&mut self, queue: &mut mpsc::Receiver<WriteRequest>) -> Option<WriteRequest> {
        loop {
            let request = match self.deferred.pop_front() {
                Some(request) => request,
                None => queue.recv().await?,
            };
            if let Some(request) = request.admit() {
                return Some(request);
            }
        }
    }

    /// Collects deferred and queued requests until the next transaction is due or full.
    async fn collect(
        &mut self,
        first: WriteRequest,
        queue: &mut mpsc::Receiver<WriteRequest>,
    ) -> Vec<WriteRequest> {
        let mut batch = batch::Batch::new(first, self.options.max_batch_rows);
        for request in std::mem::take(&mut self.deferred) {
            self.offer(&mut batch, request);
        }
        while batch.has_room() {
            let request = match queue.try_recv() {
                Ok(request) => Some(request),
                Err(_) => time::timeout_at(self.due, queue.recv())
                    .await
                    .ok()
                    .flatten(),
            };
            let Some(request) = request else { break };
            self.offer(&mut batch, request);
        }
        batch.into_requests()
    }

    fn offer(&mut self, batch: &mut batch::Batch, request: WriteRequest) {
        if !batch.fits(&request) {
            self.deferred.push_back(request);
            return;
        }
        if let Some(request) = request.admit() {
            batch.push(request);
        }
    }
}
