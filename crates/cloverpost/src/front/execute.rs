//! Runs a job: sends it to upstreams until one responds or no further attempt is allowed.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use cloverpost_core::billing::Kind;
use cloverpost_core::catalogue;
use cloverpost_core::dispatch::{Dispatch, Failure, Next, Options};
use cloverpost_core::id;
use cloverpost_core::poison;
use cloverpost_core::refusal::{Code, Ran, Refusal};
use cloverpost_core::time;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::front::State;
use crate::front::job::Job;
use crate::front::{bill, headers, queue};
use crate::upstream::{self, events};

/// Response of an upstream, validated as far as it was received.
#[derive(Debug)]
pub enum UpstreamResponse {
    /// A response that is not a stream.
    Full(FullResponse),
    /// A stream that has started.
    Stream(Stream),
}

/// A response with its full body.
#[derive(Clone, Debug)]
pub struct FullResponse {
    /// Status that the upstream sent.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: http::HeaderMap,
    /// Full body.
    pub body: Bytes,
}

/// A stream of events whose first event was received.
#[derive(Debug)]
pub struct Stream {
    /// The first event.
    pub first: events::Event,
    /// The following events.
    pub rest: events::Events,
    /// Slot on the upstream, held until the stream ends.
    pub slot: Box<upstream::Slot>,
}

/// Runs `job` until it gets a response or a refusal.
///
/// A refused job is billed here if it is certain that an upstream ran it.
pub async fn run(state: &State, job: &Job) -> Result<UpstreamResponse, Refusal> {
    let result = run_unbilled(state, job).await;
    let refused = result.as_ref().err();
    if refused.is_some_and(|refusal| refusal.ran == Ran::Yes) {
        bill::record(state, job, bill::Usage::default(), Kind::Cut).await;
    }
    result
}

/// Same as [`run`], but does not bill.
pub async fn run_unbilled(state: &State, job: &Job) -> Result<UpstreamResponse, Refusal> {
    let mut dispatch = Dispatch::new(Options {
        idempotent: job.idempotent(),
        max_attempts: state.settings.limits.max_attempts,
        max_runs: state.settings.limits.max_attempts,
        deadline: job.deadline(),
    });
    let mut tried = Vec::new();
    record_first_attempt(state, job);
    loop {
        refuse_quarantined(state, job, &dispatch)?;
        let slot = queue::acquire(state, job, &tried, &dispatch).await?;
        refuse_quarantined(state, job, &dispatch)?;
        let name = slot.upstream().name.clone();
        tried.push(name.clone());
        job.may_have_run.store(true, Ordering::Release);
        let failure = match attempt(state, job, slot).await {
            Ok(response) => {
                state
                    .metrics
                    .attempts
                    .with_label_values(&["answered"])
                    .inc();
                return Ok(response);
            }
            Err(failure) => failure,
        };
        state
            .metrics
            .attempts
            .with_label_values(&[failure.as_str()])
            .inc();
        let now = state.clock.now();
        if failure.may_be_crash() {
            let evidence = poison::Evidence {
                request: job.call.request,
                upstream: name,
            };
            state
                .quarantine
                .record_crash(vec![(job.fingerprint.into(), evidence)], now)
                .await;
        }
        let within_budget = || state.budget().try_take_retry(&job.entry.class, now);
        let next = dispatch.record_failure(failure, now, within_budget);
        job.may_have_run
            .store(dispatch.ran() != Ran::No, Ordering::Release);
        if let Next::Refuse(refusal) = next {
            return Err(refusal);
        }
    }
}

fn record_first_attempt(state: &State, job: &Job) {
    state
        .budget()
        .record_first_attempt(&job.entry.class, state.clock.now());
}

/// Refuses a request that is quarantined because it crashed upstreams.
fn refuse_quarantined(state: &State, job: &Job, dispatch: &Dispatch) -> Result<(), Refusal> {
    if state
        .quarantine
        .is_quarantined(job.fingerprint, state.clock.now())
    {
        let reason = "this request has crashed the upstreams that ran it";
        return Err(dispatch.refusal(Code::Quarantined, reason));
    }
    Ok(())
}

/// Sends `job` to the upstream of `slot` and validates the response.
async fn attempt(
    state: &State,
    job: &Job,
    slot: upstream::Slot,
) -> Result<UpstreamResponse, Failure> {
    let deadline = job.deadline();
    let sent = state.clock.now();
    let response = state
        .client
        .send(slot.upstream(), &job.call, deadline)
        .await
        .inspect_err(|failure| record_timeout(job, &slot, *failure))?;
    let (head, body) = response.into_parts();
    if !upstream::is_final(head.status) {
        return Err(Failure::BadStatus);
    }
    if proves_not_started(state, job, &head) {
        record_overload(job, &slot, head.status);
        return Err(Failure::NotStarted);
    }
    check_request_id(&head, job.call.request)?;
    if job.entry.kind == catalogue::Kind::Model && head.status.is_server_error() {
        return Err(Failure::Failed);
    }
    let time_left = deadline.since(state.clock.now());
    if job.stream && head.status.is_success() {
        let response = start_stream(body, time_left, slot).await?;
        response
            .slot
            .record_first_byte(state.clock.now().since(sent));
        Ok(UpstreamResponse::Stream(response))
    } else {
        let response = read_full(job, head, body, time_left).await?;
        slot.record_completion();
        Ok(response)
    }
}

/// Records an upstream that did not respond in time as overloaded.
///
/// Only streams are considered: the first byte of another response is delayed by the whole
/// generation, so a long response would look like a queue.
fn record_timeout(job: &Job, slot: &upstream::Slot, failure: Failure) {
    if job.stream && failure == Failure::TimedOut {
        slot.record_overload();
    }
}

/// Records an upstream that refused a stream for overload.
fn record_overload(job: &Job, slot: &upstream::Slot, status: StatusCode) {
    let overload_statuses = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    if job.stream && overload_statuses.contains(&status) {
        slot.record_overload();
    }
}

/// Whether the upstream states that it did not start the request, by its header or by a
/// status that the catalogue lists for the pool.
fn proves_not_started(state: &State, job: &Job, head: &http::response::Parts) -> bool {
    if head.headers.contains_key(upstream::NOT_STARTED) {
        return true;
    }
    let snapshot = state.snapshot.load();
    snapshot
        .catalogue
        .pool(&job.entry.pool)
        .is_some_and(|pool| pool.not_started.contains(&head.status.as_u16()))
}

/// Checks that the response belongs to `request`.
///
/// This guards against upstreams that swap responses, which would disclose the data of one
/// caller to another. On a mismatch the body is dropped unread, which closes the connection.
fn check_request_id(head: &http::response::Parts, request: id::Request) -> Result<(), Failure> {
    let Some(id) = head.headers.get(upstream::REQUEST_ID) else {
        return Err(Failure::Mismatched);
    };
    if id.as_bytes() == request.to_string().as_bytes() {
        Ok(())
    } else {
        Err(Failure::Mismatched)
    }
}

async fn start_stream(
    body: Incoming,
    time_left: std::time::Duration,
    slot: upstream::Slot,
) -> Result<Stream, Failure> {
    let mut rest = events::Events::new(body);
    let first = tokio::time::timeout(time_left, rest.next()).await;
    let first = first.map_err(|_elapsed| Failure::Stalled)??;
    let slot = Box::new(slot);
    Ok(Stream { first, rest, slot })
}

async fn read_full(
    job: &Job,
    head: http::response::Parts,
    body: Incoming,
    time_left: std::time::Duration,
) -> Result<UpstreamResponse, Failure> {
    let body = tokio::time::timeout(time_left, body.collect()).await;
    let body = body
        .map_err(|_elapsed| Failure::Stalled)?
        .map_err(|_| Failure::Truncated)?
        .to_bytes();
    if must_be_json(job, &head, &body)
        && serde_json::from_slice::<serde::de::IgnoredAny>(&body).is_err()
    {
        return Err(Failure::Malformed);
    }
    Ok(UpstreamResponse::Full(FullResponse {
        status: head.status,
        headers: headers::to_caller(&head.headers),
        body,
    }))
}

/// Whether the body must be valid JSON.
///
/// This detects truncated and duplicated bodies that are framed correctly, such as those of
/// a plain service that fails behind a proxy.
fn must_be_json(job: &Job, head: &http::response::Parts, body: &Bytes) -> bool {
    if job.entry.kind == catalogue::Kind::Model {
        return true;
    }
    let content_type = head.headers.get(http::header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let is_json = content_type
        .unwrap_or_default()
        .starts_with("application/json");
    let may_be_empty = job.call.method == http::Method::HEAD
        || head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED;
    is_json && !(may_be_empty && body.is_empty())
}

/// Returns the time until `deadline`.
pub fn time_left(state: &State, deadline: time::Moment) -> std::time::Duration {
    deadline.since(state.clock.now())
}
