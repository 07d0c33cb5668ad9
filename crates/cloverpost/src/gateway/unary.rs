//! Requests with a non-streaming response.

use std::sync::Arc;

use bytes::Bytes;
use cloverpost_core::balance::Event;
use cloverpost_core::dispatch::{Dispatch, Failure, Next, Options};
use cloverpost_core::refusal::{Ran, Refusal};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::gateway::Shared;
use crate::gateway::attempt::{self, End, UpstreamResponse};
use crate::gateway::buffers::{self, Reservation};
use crate::gateway::codec::Codec;
use crate::gateway::crashes;
use crate::gateway::hedge::{self, Plan};
use crate::gateway::job::Job;
use crate::gateway::offers::Offer;
use crate::gateway::pool::Connection;
use crate::gateway::response::{self, FullResponse};
use crate::gateway::{selection, shutdown, upload};

/// Attempts allowed in addition to the route's limit, for attempts whose upstream is
/// known not to have run the request.
pub const MAX_UNSTARTED_ATTEMPTS: u32 = 3;

/// Size limit of a response body.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Outcome of a job.
pub enum Outcome {
    /// A response of an upstream, successful or not.
    Answered(FullResponse),
    /// No upstream gave a response.
    Refused(Refusal),
}

/// A response that was read to its end.
pub struct Received {
    /// The response.
    pub response: FullResponse,
    /// Whether the upstream ran the request and failed.
    pub is_failure: bool,
    /// Whether the body is complete.
    pub end: End,
}

/// Creates the retry state of `job`.
pub fn new_dispatch(job: &Job) -> Dispatch {
    Dispatch::new(Options {
        idempotent: job.route.kind.is_idempotent(),
        max_attempts: job.route.max_attempts + MAX_UNSTARTED_ATTEMPTS,
        max_runs: job.route.max_attempts,
        deadline: job.deadline,
    })
}

/// Runs attempts of `job` until one succeeds or no further attempt is allowed.
pub async fn run<C: Codec>(shared: &Arc<Shared<C>>, job: &Job) -> Outcome {
    let mut dispatch = new_dispatch(job);
    let mut tried = Vec::new();
    let mut failure_response = None;
    shared.record_first_attempt(&job.service);
    loop {
        // Once every upstream was tried, one of them may succeed on a new connection.
        let selected = selection::select_upstream(shared, job, None, &tried)
            .or_else(|| selection::select_upstream(shared, job, None, &[]));
        let Some(upstream) = selected else {
            return failure_response.map_or_else(
                || Outcome::Refused(selection::no_upstream_refusal(shared, job, &dispatch)),
                Outcome::Answered,
            );
        };
        tried.push(upstream.id.clone());
        let response = hedge::send(
            shared,
            job,
            &mut dispatch,
            &mut tried,
            Plan::default(),
            upstream,
        );
        let result = match response.await {
            Ok(response) => {
                let _offer = offer_body(shared, job, &dispatch, response.is_failure);
                read_full(shared, job, response).await
            }
            Err(failure) => Err(failure),
        };
        let failure = match result {
            Ok(received) if received.is_failure => {
                failure_response = Some(received.response);
                Failure::Failed
            }
            Ok(received) => {
                if received.end == End::Complete {
                    crashes::record_success(shared, job);
                }
                return Outcome::Answered(received.response);
            }
            Err(failure) => failure,
        };
        match next_step(shared, job, &mut dispatch, failure, false).await {
            Next::Retry => {}
            Next::Refuse(refusal) => {
                return failure_response.map_or(Outcome::Refused(refusal), Outcome::Answered);
            }
        }
    }
}

/// Offers the body of `job`, whose response has begun, or releases it if it serves no repeat.
pub fn offer_body<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    dispatch: &Dispatch,
    is_failure: bool,
) -> Option<Offer> {
    if !job.route.kind.is_idempotent() || !dispatch.may_run_again() {
        job.release_body();
    }
    let is_large = job.body.len() > upload::SMALL_BYTES;
    (is_large && !is_failure)
        .then(|| shared.uploads.offer(job.head.id.as_str(), &job.body))
        .flatten()
}

/// Decides whether to retry `job` after a failed attempt, and takes the retry from the budget
/// unless the failure is exempt or a retry `is_paid` already.
pub async fn next_step<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    dispatch: &mut Dispatch,
    failure: Failure,
    is_paid: bool,
) -> Next {
    if crashes::is_quarantined(shared, job).await {
        return Next::Refuse(crashes::stop(dispatch, failure));
    }
    let is_stopping = !shutdown::admits(shared, &job.route, job.deadline);
    if is_stopping || !job.body.is_held() {
        dispatch.record_last_failure(failure);
        return Next::Refuse(if is_stopping && dispatch.ran() == Ran::No {
            shutdown::refusal()
        } else {
            dispatch.refusal(failure.code(), failure.as_str())
        });
    }
    let now = shared.clock.now();
    let within_budget = || is_paid || shared.try_take_retry(job);
    let next = dispatch.record_failure(failure, now, within_budget);
    if next == Next::Retry {
        record_sent_again(shared, job, dispatch, failure.as_str());
    }
    next
}

/// Records that `job` is sent again after an attempt that ended with `after`.
pub fn record_sent_again<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    dispatch: &Dispatch,
    after: &str,
) {
    let service = job.service.as_str();
    let sent_again = &shared.metrics.sent_again;
    sent_again.with_label_values(&[service, after]).inc();
    let now = shared.clock.now();
    log::info!(
        id = job.head.id.as_str(), service, after, attempts = dispatch.attempts(),
        age_ms = response::millis(now.since(job.started)),
        left_ms = response::millis(job.deadline.since(now));
        "request is sent again"
    );
}

/// Reads a response to its end.
pub async fn read_full<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    response: UpstreamResponse<C>,
) -> Result<Received, Failure> {
    let UpstreamResponse {
        slot,
        connection,
        head,
        body,
        is_unframed,
        is_failure,
        ..
    } = response;
    let left = job.deadline.since(shared.clock.now());
    let body = tokio::time::timeout(left, read_body(shared, job, &connection, body));
    let body = body.await.map_err(|_elapsed| Failure::Stalled)?;
    slot.end();
    let body = match body {
        Ok(body) => body,
        Err(BodyError::TooLarge) => {
            slot.record(Event::Broke);
            return Err(Failure::Malformed);
        }
        Err(BodyError::Truncated) => {
            let lost = Failure::Truncated;
            return Err(attempt::record_lost(shared, job, &slot, &connection, lost).await);
        }
    };
    let end = if is_unframed {
        attempt::find_end(shared, job, &slot, &connection, is_failure).await?
    } else {
        shared.pool.put_back(connection);
        End::Complete
    };
    slot.record(if is_failure {
        Event::Failed
    } else {
        Event::Succeeded
    });
    Ok(Received {
        response: into_response(&head, body),
        is_failure,
        end,
    })
}

/// Why a body was not read to its end.
enum BodyError {
    /// It exceeds [`MAX_RESPONSE_BYTES`].
    TooLarge,
    /// The connection was lost, or the body is malformed.
    Truncated,
}

/// Reads `body` to its end. Bytes beyond the first ones are read only once memory is reserved for all
/// of it.
async fn read_body<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    connection: &Connection,
    mut body: Incoming,
) -> Result<Bytes, BodyError> {
    let declared = body.size_hint().exact();
    let max = declared.map_or(MAX_RESPONSE_BYTES, |length| {
        usize::try_from(length).unwrap_or(usize::MAX)
    });
    if max > MAX_RESPONSE_BYTES {
        return Err(BodyError::TooLarge);
    }
    let mut reservation = match declared {
        Some(_) if max > buffers::UNRESERVED_BYTES => Some(reserve(shared, job, max).await),
        _ => None,
    };
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        connection.record_part();
        let frame = frame.map_err(|_| BodyError::Truncated)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > max {
            return Err(BodyError::TooLarge);
        }
        if length > buffers::UNRESERVED_BYTES && reservation.is_none() {
            reservation = Some(reserve(shared, job, max).await);
        }
        if reservation.is_some() && length > bytes.capacity() {
            // A buffer that grows is copied, and takes up to twice the reserved memory meanwhile.
            bytes.reserve_exact(max - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    Ok(match reservation {
        Some(reservation) => reservation.attach(bytes),
        None => bytes.into(),
    })
}

/// Waits for memory for a response. The caller of a request that may be sent again may be disconnected
/// for others meanwhile.
async fn reserve<C: Codec>(shared: &Shared<C>, job: &Job, bytes: usize) -> Reservation {
    if let Some(reservation) = shared.buffers.try_reserve(bytes) {
        return reservation;
    }
    let may_close = job.route.kind.is_idempotent();
    if may_close {
        job.client.set_waiting(true);
    }
    let reservation = shared.buffers.reserve(bytes).await;
    if may_close {
        job.client.set_waiting(false);
    }
    reservation
}

fn into_response(head: &http::response::Parts, body: Bytes) -> FullResponse {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = crate::front::headers::end_to_end(&head.headers);
    response
}
