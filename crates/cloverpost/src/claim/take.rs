//! Takes claims.

use std::fmt;

use bytes::Bytes;
use cloverpost_core::claim::take::{self, Action, Event, Take};
use cloverpost_core::claim::{self, Row, State};
use cloverpost_core::{id, refusal};
use cloverpost_platform::{fault, objects, table};
use tokio::time;

use crate::claim::job::{Job, Work};
use crate::claim::{Claims, Liveness, Shared, Ticket, answer, scoped_key, store, ticket};
use crate::clock;

/// Result of a claim that was not refused.
#[derive(Debug)]
pub enum Outcome {
    /// The request may be dispatched, once.
    Granted(Ticket),
    /// The request ran before and returned this answer, with its stored headers.
    Replayed(http::Response<Bytes>),
}

/// The error returned when a claim is not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The claim was refused.
    Refused(take::Error),
    /// The request ran before, and its answer was not stored.
    AnswerLost,
    /// The request ran before, and its answer cannot be read now.
    AnswerUnavailable,
}

impl<T, O, L> Claims<T, O, L>
where
    T: table::Table,
    O: objects::Objects,
    L: Liveness,
{
    /// Claims `key` of `organisation` for one attempt at a request.
    ///
    /// `request` must be unique to each call, since it identifies the owner of a row.
    /// The call may be cancelled; a claim that was already granted is released.
    pub async fn take(
        &self,
        organisation: id::Organisation,
        key: claim::Key,
        body: claim::RequestHash,
        request: id::Request,
    ) -> Result<Outcome, Error> {
        let scoped_key = scoped_key::ScopedKey { organisation, key };
        let row = Row {
            claimant: self.0.claimant.clone(),
            request,
            body,
            at: clock::stamp(),
            state: State::Running,
        };
        // Runs in its own task: cancelling a claim while its write is in flight would
        // leave a row that is never settled.
        let claims = self.clone();
        let attempt = tokio::spawn(async move { claims.0.attempt(scoped_key, row).await });
        let result = match attempt.await {
            Ok(Ok(AttemptOutcome::Ticket(ticket))) => Ok(Outcome::Granted(ticket)),
            Ok(Ok(AttemptOutcome::Answer(answer))) => self.replay(answer).await,
            Ok(Err(error)) => Err(Error::Refused(error)),
            Err(_) => Err(Error::Refused(unavailable())),
        };
        self.count(&result);
        result
    }

    async fn replay(&self, answer: claim::Answer) -> Result<Outcome, Error> {
        let response = self.0.answers.load(answer).await;
        response
            .map(Outcome::Replayed)
            .map_err(|error| match error {
                answer::Error::Lost => Error::AnswerLost,
                answer::Error::Unavailable => Error::AnswerUnavailable,
            })
    }

    fn count(&self, result: &Result<Outcome, Error>) {
        let counters = &self.0.counters;
        match result {
            Ok(Outcome::Granted(_)) => counters.granted.inc(),
            Ok(Outcome::Replayed(_)) => counters.replayed.inc(),
            Err(_) => counters.refused.inc(),
        }
    }
}

/// Result of a successful attempt.
enum AttemptOutcome {
    Ticket(Ticket),
    Answer(claim::Answer),
}

impl<T, O, L> Shared<T, O, L>
where
    T: table::Table,
    O: objects::Objects,
    L: Liveness,
{
    async fn attempt(
        &self,
        scoped_key: scoped_key::ScopedKey,
        row: Row,
    ) -> Result<AttemptOutcome, take::Error> {
        // Open claims cannot be settled during an outage of the table. Their number is
        // limited to bound memory.
        let permit = std::sync::Arc::clone(&self.open_permits)
            .try_acquire_owned()
            .map_err(|_| unavailable())?;
        let mut take = Take::new(row.clone(), self.clock.now() + self.options.timeout);
        match self.drive(&scoped_key, &mut take).await {
            Ok(take::Outcome::Granted { version }) => {
                let grant = ticket::Grant {
                    scoped_key,
                    row,
                    version,
                    permit,
                };
                Ok(AttemptOutcome::Ticket(Ticket::new(
                    grant,
                    self.jobs.clone(),
                )))
            }
            Ok(take::Outcome::Replayed(answer)) => Ok(AttemptOutcome::Answer(answer)),
            Err(error) => {
                self.abandon(scoped_key, &take, permit);
                Err(error)
            }
        }
    }

    async fn drive(
        &self,
        scoped_key: &scoped_key::ScopedKey,
        take: &mut Take,
    ) -> Result<take::Outcome, take::Error> {
        let expires = time::Instant::now() + self.options.timeout;
        let mut action = take.start();
        loop {
            let event = match action {
                Action::Finish(result) => return result,
                Action::Read { after } => {
                    time::sleep(after).await;
                    self.read(scoped_key).await
                }
                Action::Write { expect, row } => {
                    let answer = self
                        .store
                        .write(scoped_key, expect, &row, Some(expires))
                        .await;
                    self.write_event(&row, answer)
                }
            };
            let liveness = |claimant: &claim::Claimant| self.liveness.liveness(claimant);
            action = take.step(event, self.clock.now(), liveness);
        }
    }

    async fn read(&self, scoped_key: &scoped_key::ScopedKey) -> Event {
        match self.store.read(scoped_key).await {
            Ok(seen) => Event::Read(seen),
            Err(store::Error::Unavailable) => Event::ReadFailed,
            Err(store::Error::Unreadable) => Event::Unreadable,
        }
    }

    fn write_event(&self, row: &Row, answer: Result<table::Outcome, fault::Fault>) -> Event {
        match answer {
            Ok(table::Outcome::Written) => {
                if row.state == State::Unknown {
                    self.counters.marked.inc();
                }
                Event::Written
            }
            Ok(table::Outcome::Conflict) => Event::Conflict,
            Err(fault) => Event::Failed {
                is_indeterminate: fault.effect == fault::Effect::Unknown,
            },
        }
    }

    fn abandon(
        &self,
        scoped_key: scoped_key::ScopedKey,
        take: &Take,
        permit: tokio::sync::OwnedSemaphorePermit,
    ) {
        let Some(settle) = take.abandon() else { return };
        self.counters.abandoned.inc();
        let job = Job {
            scoped_key,
            work: Work::Abandon(settle),
            permit,
            done: None,
        };
        // The receiver is dropped only when the settler was aborted or the runtime has
        // shut down.
        let _ = self.jobs.send(job);
    }
}

/// The error of an attempt that sent no write.
const fn unavailable() -> take::Error {
    take::Error::Unavailable {
        ran: refusal::Ran::No,
    }
}

impl Error {
    /// Converts the error to a refusal for the caller.
    #[must_use]
    pub fn refusal(self) -> refusal::Refusal {
        let code = match self {
            Self::Refused(error) => return error.refusal(),
            Self::AnswerLost => refusal::Code::OutcomeUnknown,
            Self::AnswerUnavailable => refusal::Code::StoreUnavailable,
        };
        refusal::Refusal::ran(code, self.to_string())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(error) => error.fmt(f),
            Self::AnswerLost => f.write_str("the request ran; its answer was not kept"),
            Self::AnswerUnavailable => {
                f.write_str("the request ran; its answer cannot be read now")
            }
        }
    }
}

impl std::error::Error for Error {}
