//! Settles claims in the background.

use cloverpost_core::claim::settle::{Action, Event, Outcome, Settle};
use cloverpost_core::claim::{Row, State};
use cloverpost_platform::{objects, table};
use tokio::sync::mpsc;
use tokio::{task, time};

use crate::claim::job::{Job, Progress, Resolution, Work};
use crate::claim::{Counters, answer, scoped_key, store};

/// Settles claims.
#[derive(Clone, Debug)]
pub struct Settler<T, O> {
    store: store::Store<T>,
    answers: answer::Store<O>,
    counters: Counters,
}

impl<T: table::Table, O: objects::Objects> Settler<T, O> {
    /// Creates a settler of claims in `store` with answers in `answers`.
    pub const fn new(
        store: store::Store<T>,
        answers: answer::Store<O>,
        counters: Counters,
    ) -> Self {
        Self {
            store,
            answers,
            counters,
        }
    }

    /// Settles all jobs concurrently until the inbox is closed.
    ///
    /// Each job owns a permit of an open claim, which bounds the inbox and the number
    /// of tasks.
    pub async fn run(self, mut inbox: mpsc::UnboundedReceiver<Job>) {
        let mut jobs = task::JoinSet::new();
        while let Some(job) = inbox.recv().await {
            while jobs.try_join_next().is_some() {}
            let settler = self.clone();
            settler.counters.settling.inc();
            jobs.spawn(async move {
                settler.settle(job).await;
                settler.counters.settling.dec();
            });
        }
        while jobs.join_next().await.is_some() {}
    }

    async fn settle(&self, job: Job) {
        let outcome = match job.work {
            Work::Abandon(settle) => self.drive(&job.scoped_key, settle).await,
            Work::Finish {
                row,
                version,
                resolution,
            } => {
                self.finish(&job.scoped_key, &row, version, resolution)
                    .await
            }
        };
        let progress = match outcome {
            Outcome::Settled => Progress::Settled,
            Outcome::Superseded => Progress::Superseded,
        };
        self.count(progress);
        if let Some(done) = job.done {
            let _ = done.send(progress);
        }
        drop(job.permit);
    }

    async fn finish(
        &self,
        scoped_key: &scoped_key::ScopedKey,
        row: &Row,
        version: u64,
        resolution: Resolution,
    ) -> Outcome {
        // A pending answer keeps its share of the memory until the row is settled.
        let target = match &resolution {
            Resolution::Released => State::Released,
            Resolution::Unknown => State::Unknown,
            Resolution::Done(pending) => {
                let name = scoped_key.object(&row.request);
                State::Done(self.answers.store(pending, name).await)
            }
        };
        let settle = Settle::new(row, version, target);
        let outcome = self.drive(scoped_key, settle).await;
        drop(resolution);
        outcome
    }

    async fn drive(&self, scoped_key: &scoped_key::ScopedKey, mut settle: Settle) -> Outcome {
        let mut action = settle.start();
        loop {
            let event = match action {
                Action::Finish(outcome) => return outcome,
                Action::Read { after } => {
                    time::sleep(after).await;
                    self.read(scoped_key).await
                }
                Action::Write { after, expect, row } => {
                    time::sleep(after).await;
                    match self.store.write(scoped_key, expect, &row, None).await {
                        Ok(table::Outcome::Written) => Event::Written,
                        Ok(table::Outcome::Conflict) => Event::Conflict,
                        Err(_) => self.failed(),
                    }
                }
            };
            action = settle.step(event);
        }
    }

    async fn read(&self, scoped_key: &scoped_key::ScopedKey) -> Event {
        match self.store.read(scoped_key).await {
            Ok(seen) => Event::Read(seen),
            Err(store::Error::Unreadable) => Event::Unreadable,
            Err(store::Error::Unavailable) => self.failed(),
        }
    }

    fn failed(&self) -> Event {
        self.counters.retries.inc();
        Event::Failed
    }

    fn count(&self, progress: Progress) {
        match progress {
            Progress::Settled => self.counters.settled.inc(),
            Progress::Superseded => self.counters.superseded.inc(),
            Progress::Pending => {}
        }
    }
}
