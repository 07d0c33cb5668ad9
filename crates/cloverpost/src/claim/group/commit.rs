//! Commits a batch of write requests.

use std::time::Duration;

use cloverpost_platform::{fault, table};
use futures_util::future;

use crate::claim::{Counters, group::WriteRequest, manifest, store};

/// Maximum number of transactions attempted for one batch.
const MAX_TRANSACTIONS: usize = 3;

/// Commits batches to a table.
#[derive(Clone, Debug)]
pub struct Committer<T> {
    table: T,
    counters: Counters,
    call_timeout: Duration,
}

impl<T: table::Table> Committer<T> {
    /// Creates a committer that writes to `table`.
    pub const fn new(table: T, counters: Counters, call_timeout: Duration) -> Self {
        Self {
            table,
            counters,
            call_timeout,
        }
    }

    /// Commits `requests` with a manifest at `manifest_key` and sends each its result.
    pub async fn run(&self, mut requests: Vec<WriteRequest>, manifest_key: table::Key) {
        for _ in 0..MAX_TRANSACTIONS {
            if requests.is_empty() {
                return;
            }
            match self.write(&requests, &manifest_key).await {
                Ok(table::Outcome::Conflict) if requests.len() > 1 => {
                    let before = requests.len();
                    requests = self.reject_conflicting(requests).await;
                    if requests.len() == before {
                        break;
                    }
                }
                answer => return answer_all(requests, &answer),
            }
        }
        // The conflict is in a row that is being settled, or rows change between read
        // and write. The callers read their rows and retry.
        answer_all(requests, &Ok(table::Outcome::Conflict));
    }

    async fn write(
        &self,
        requests: &[WriteRequest],
        manifest_key: &table::Key,
    ) -> Result<table::Outcome, fault::Fault> {
        self.counters.transactions.inc();
        self.counters.rows.inc_by(requests.len() as u64);
        let manifest = manifest_of(requests, manifest_key);
        let listed = manifest.is_some();
        let writes = requests
            .iter()
            .map(WriteRequest::write)
            .chain(manifest)
            .collect();
        let answer = store::with_timeout(self.call_timeout, self.table.write(writes)).await;
        match answer {
            Err(fault) if listed && fault.effect == fault::Effect::Unknown => {
                self.read_back(manifest_key, fault).await
            }
            answer => answer,
        }
    }

    /// Reads the manifest after the response to the transaction was lost. The manifest
    /// is written atomically with the rows, so if it exists, all of them were written.
    /// If not, the transaction may still take effect, and its outcome stays unknown.
    async fn read_back(
        &self,
        manifest_key: &table::Key,
        fault: fault::Fault,
    ) -> Result<table::Outcome, fault::Fault> {
        self.counters.reads.inc();
        let found = store::with_timeout(self.call_timeout, self.table.read(manifest_key)).await;
        match found {
            Ok(Some(_)) => Ok(table::Outcome::Written),
            _ => Err(fault),
        }
    }

    /// Rejects the requests whose preconditions do not hold and returns the others.
    ///
    /// The others are retried without adding new requests. Otherwise, on a busy VM with
    /// many repeated keys, each retry could conflict with another one until the deadline.
    /// Rows are read instead of bisecting the batch, because reads are cheaper than
    /// writes and run in parallel.
    async fn reject_conflicting(&self, requests: Vec<WriteRequest>) -> Vec<WriteRequest> {
        self.counters.batch_conflicts.inc();
        let results = future::join_all(requests.iter().map(|request| self.holds(request))).await;
        let mut remaining = Vec::new();
        for (request, holds) in requests.into_iter().zip(results) {
            if holds {
                remaining.push(request);
            } else {
                request.answer(Ok(table::Outcome::Conflict));
            }
        }
        remaining
    }

    /// Whether the precondition of the request holds or may hold. Only claims are read,
    /// since settling rarely conflicts.
    async fn holds(&self, request: &WriteRequest) -> bool {
        if !request.claims {
            return true;
        }
        self.counters.reads.inc();
        let key = request.scoped_key.row();
        let row = store::with_timeout(self.call_timeout, self.table.read(&key)).await;
        row.map_or(true, |row| request.holds(row.as_ref()))
    }
}

fn manifest_of(requests: &[WriteRequest], manifest_key: &table::Key) -> Option<table::Write> {
    let claims = requests.iter().filter(|request| request.claims);
    let scoped_keys: Vec<_> = claims.map(|request| request.scoped_key.clone()).collect();
    if scoped_keys.is_empty() {
        return None;
    }
    let value = manifest::Manifest(scoped_keys).encode();
    let condition = table::Condition::Absent;
    Some(table::Write::put(manifest_key.clone(), condition, value))
}

fn answer_all(requests: Vec<WriteRequest>, answer: &Result<table::Outcome, fault::Fault>) {
    for request in requests {
        request.answer(answer.clone());
    }
}
