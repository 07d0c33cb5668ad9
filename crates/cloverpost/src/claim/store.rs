//! Rows of claims, read individually and written in batches.

use std::future::Future;
use std::time::Duration;

use cloverpost_core::claim::{self, Precondition, Row, VersionedRow};
use cloverpost_platform::{fault, table};
use tokio::sync::{mpsc, oneshot};
use tokio::{task, time};

use crate::claim::{Counters, Options, group, scoped_key};

/// Capacity of the write queue.
const QUEUE_CAPACITY: usize = 1024;
/// Timeout that exceeds the lifetime of any process.
const NO_DEADLINE: Duration = Duration::from_hours(24 * 365);

/// The rows of claims.
#[derive(Clone, Debug)]
pub struct Store<T> {
    table: T,
    requests: mpsc::Sender<group::WriteRequest>,
    counters: Counters,
    call_timeout: Duration,
}

/// The error returned when a row could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The table failed or did not respond in time.
    Unavailable,
    /// The row could not be decoded.
    Unreadable,
}

impl<T: table::Table> Store<T> {
    /// Creates a store of rows in `table` and spawns the task that writes them.
    pub fn start(
        table: T,
        claimant: &claim::Claimant,
        counters: &Counters,
        options: &Options,
    ) -> (Self, task::AbortHandle) {
        let (requests, queue) = mpsc::channel(QUEUE_CAPACITY);
        let group = group::Group::new(table.clone(), claimant.clone(), counters.clone(), *options);
        let writer = tokio::spawn(group.run(queue));
        let store = Self {
            table,
            requests,
            counters: counters.clone(),
            call_timeout: options.call_timeout,
        };
        (store, writer.abort_handle())
    }

    /// Reads the row of `scoped_key`.
    pub async fn read(
        &self,
        scoped_key: &scoped_key::ScopedKey,
    ) -> Result<Option<VersionedRow>, Error> {
        self.counters.reads.inc();
        let key = scoped_key.row();
        let row = with_timeout(self.call_timeout, self.table.read(&key))
            .await
            .map_err(|_| Error::Unavailable)?;
        let seen = row.map(|row| {
            Row::decode(&row.value).map(|decoded| VersionedRow {
                version: row.version,
                row: decoded,
            })
        });
        seen.transpose().map_err(|_| Error::Unreadable)
    }

    /// Writes the row of `scoped_key`. A write that was not sent by `expires` is
    /// cancelled.
    pub async fn write(
        &self,
        scoped_key: &scoped_key::ScopedKey,
        expect: Precondition,
        row: &Row,
        expires: Option<time::Instant>,
    ) -> Result<table::Outcome, fault::Fault> {
        self.submit(scoped_key, expect, Some(row), expires).await
    }

    /// Deletes the row of `scoped_key` if it has `version`.
    pub async fn delete(
        &self,
        scoped_key: &scoped_key::ScopedKey,
        version: u64,
    ) -> Result<table::Outcome, fault::Fault> {
        let expect = Precondition::Version(version);
        self.submit(scoped_key, expect, None, None).await
    }

    async fn submit(
        &self,
        scoped_key: &scoped_key::ScopedKey,
        expect: Precondition,
        row: Option<&Row>,
        expires: Option<time::Instant>,
    ) -> Result<table::Outcome, fault::Fault> {
        let (reply, answer) = oneshot::channel();
        let gate = group::Gate::default();
        let request = group::WriteRequest {
            scoped_key: scoped_key.clone(),
            expect,
            claims: row.is_some_and(|row| row.state == claim::State::Running),
            value: row.map(|row| row.encode().into()),
            gate: gate.clone(),
            reply,
        };
        let deadline = expires.unwrap_or_else(no_deadline);
        let sent = time::timeout_at(deadline, self.requests.send(request)).await;
        if !matches!(sent, Ok(Ok(()))) {
            return Err(fault::Fault::without_effect(
                "claim write was not queued before its deadline",
            ));
        }
        wait(answer, deadline, &gate).await
    }

    /// The underlying table.
    pub const fn table(&self) -> &T {
        &self.table
    }
}

/// Waits for the result of a request and cancels the request if it was not sent by
/// `deadline`. Once it is sent, the timeout of the call bounds the wait.
async fn wait(
    mut answer: oneshot::Receiver<Result<table::Outcome, fault::Fault>>,
    deadline: time::Instant,
    gate: &group::Gate,
) -> Result<table::Outcome, fault::Fault> {
    let in_time = time::timeout_at(deadline, &mut answer).await;
    if in_time.is_err() && gate.pass() {
        return Err(fault::Fault::without_effect(
            "claim write was cancelled at its deadline",
        ));
    }
    let answer = match in_time {
        Ok(answer) => answer,
        Err(_) => answer.await,
    };
    // Every request is answered unless the writer task was aborted.
    let stopped = || fault::Fault::with_unknown_effect("claim writer stopped before it answered");
    answer.unwrap_or_else(|_| Err(stopped()))
}

/// The deadline of a write that does not expire.
fn no_deadline() -> time::Instant {
    time::Instant::now() + NO_DEADLINE
}

/// Runs `call` with a time limit. Its effect is unknown after a timeout.
pub async fn with_timeout<R>(
    limit: Duration,
    call: impl Future<Output = Result<R, fault::Fault>>,
) -> Result<R, fault::Fault> {
    let timeout = || fault::Fault::with_unknown_effect("call exceeded its time limit");
    let answer = time::timeout(limit, call).await;
    answer.unwrap_or_else(|_| Err(timeout()))
}
