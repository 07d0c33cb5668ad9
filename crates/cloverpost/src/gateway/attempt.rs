//! One attempt of a job on one upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cloverpost_core::balance::Event;
use cloverpost_core::dispatch::Failure;
use cloverpost_core::{directory, id, time};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::gateway::Shared;
use crate::gateway::acquire;
use crate::gateway::codec::{Attempt, Classification, Codec};
use crate::gateway::crashes;
use crate::gateway::interim::Interim;
use crate::gateway::job::Job;
use crate::gateway::overdue::Overdue;
use crate::gateway::path::{self, Loss};
use crate::gateway::pool::Connection;
use crate::gateway::pushback;
use crate::gateway::rate_limits;
use crate::gateway::response;
use crate::gateway::rollout_evidence::{self, HeadOutcome};
use crate::gateway::selection;
use crate::gateway::shutdown;
use crate::gateway::slot::UpstreamSlot;
use crate::gateway::statements;
use crate::upstream;

/// Time without data from an upstream, on any of this VM's requests, after which a stream
/// that waits there is retried on another upstream. It must exceed the silence of an
/// engine that processes a long prompt, which reaches 1.3 s for 50,000 tokens.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time without data from an upstream after which an attempt that may be retried checks its path.
const PATH_CHECK_SILENCE: Duration = Duration::from_secs(1);
/// Shortest interval between checks of a silent upstream.
pub const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a stream's response head as a multiple of the route's target latency. It
/// applies even while the upstream sends data on other requests.
pub const FIRST_EVENT_TIMEOUT_FACTOR: u32 = 2;

/// A response of an upstream whose head was received.
pub struct UpstreamResponse<C: Codec> {
    /// The request's slot on the upstream.
    pub slot: UpstreamSlot<C>,
    /// Connection that the response arrives on.
    pub connection: Connection,
    /// Response head.
    pub head: http::response::Parts,
    /// Unread response body.
    pub body: Incoming,
    /// Whether the body has neither a length nor chunks, and ends with its connection.
    pub is_unframed: bool,
    /// Whether the upstream ran the request and failed.
    pub is_failure: bool,
    /// Confidence that the model reports for its response, 0 to 100.
    pub confidence: Option<u8>,
}

/// End of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The body is complete.
    Complete,
    /// The body is complete unless the upstream crashed, which is not known.
    Unproven,
}

/// Options that differ between the attempts of a job.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptOptions<'a> {
    /// Model to use, if the router selects it.
    pub model: Option<&'a id::Model>,
    /// Id of the last event that the caller received, if a stream is resumed.
    pub last_event: Option<&'a str>,
    /// Whether the job may be sent again beside this attempt if that takes too long.
    pub may_retry: bool,
    /// Number of attempts before this one.
    pub attempts_before: usize,
}

impl AttemptOptions<'_> {
    /// Whether this is the first attempt of its request.
    pub fn is_first(&self) -> bool {
        self.attempts_before == 0 && self.last_event.is_none()
    }

    /// Kind of the attempt, for metrics and the log.
    fn kind(&self) -> &'static str {
        match (self.last_event, self.attempts_before) {
            (Some(_), _) => "resumed",
            (None, 0) => "first",
            (None, _) => "again",
        }
    }
}

/// Sends `job` to `upstream` and waits for the response head.
pub async fn send<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    upstream: &Arc<directory::Upstream>,
    options: AttemptOptions<'_>,
    overdue: &Overdue,
) -> Result<UpstreamResponse<C>, Failure> {
    let work = prefill_seconds(shared, job, options.model);
    let slot = UpstreamSlot::acquire(shared.clone(), upstream.clone(), job.profile(), work);
    selection::count_send(shared, job, upstream);
    rate_limits::record_send(shared, job, upstream, options.kind());
    let sent = shared.clock.now();
    let result = exchange(shared, job, slot, options, overdue).await;
    record_result(shared, job, upstream, options, sent, &result);
    result
}

/// Estimated seconds that an upstream takes to process the job's prompt.
fn prefill_seconds<C: Codec>(shared: &Shared<C>, job: &Job, model: Option<&id::Model>) -> f64 {
    shared
        .speed()
        .prefill_seconds(model, job.head.prompt_tokens())
}

/// Acquires what an attempt needs. Fails if the request is no longer to be sent.
async fn prepare<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    slot: &UpstreamSlot<C>,
    options: AttemptOptions<'_>,
) -> Result<(Connection, Bytes), Failure> {
    let Some(body) = job.body.bytes() else {
        slot.end();
        return Err(Failure::NotSent);
    };
    let connection = acquire::connection(shared, job, slot).await?;
    if shared.clock.now() >= job.deadline {
        slot.end();
        return Err(Failure::NotSent);
    }
    if pushback::is_blocked(shared, job, &slot.upstream, options.kind())
        || !shutdown::admits(shared, &job.route, job.deadline)
    {
        slot.end();
        shared.pool.put_back(connection);
        return Err(Failure::NotSent);
    }
    Ok((connection, body))
}

async fn exchange<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    slot: UpstreamSlot<C>,
    options: AttemptOptions<'_>,
    overdue: &Overdue,
) -> Result<UpstreamResponse<C>, Failure> {
    let (mut connection, body) = prepare(shared, job, &slot, options).await?;
    let sent = shared.clock.now();
    let mut request = build_request(shared, job, body, &slot.upstream, options);
    let interim = Interim::default();
    interim.watch(&mut request);
    slot.begin();
    job.runs.begin();
    overdue.record_sent();
    let response = connection.sender.try_send_request(request);
    let response = tokio::select! {
        response = response => response,
        () = interim.exceeded() => {
            slot.record(Event::Broke);
            return Err(Failure::Malformed);
        }
        failure = watch_for_head(shared, job, &slot, sent, options.may_retry, overdue) => return Err(failure),
    };
    let ended = shared.clock.now();
    let since = connection.permitted();
    let reset = |when| acquire::Reset {
        since,
        at: ended,
        when,
    };
    let response = match response {
        Ok(response) => response,
        // The connection closed before any byte of the request was written.
        Err(error) if error.message().is_some() => {
            slot.end();
            job.runs.undo();
            if !connection.is_used {
                acquire::record_reset(shared, job, &slot.upstream.id, reset("before"));
            }
            return Err(Failure::NotSent);
        }
        Err(error) => {
            let is_reset = !connection.is_used && acquire::is_reset(error.error());
            let failure = Failure::ConnectionLost;
            let loss = record_loss(shared, job, &slot, &connection, failure).await;
            if is_reset && loss == Loss::Connection {
                acquire::record_reset(shared, job, &slot.upstream.id, reset("after"));
            }
            return Err(lost_failure(loss, failure));
        }
    };
    let (head, body) = response.into_parts();
    if !upstream::is_final(head.status) {
        slot.record(Event::Broke);
        return Err(Failure::BadStatus);
    }
    connection.record_part();
    connection.record_keep_alive(&head);
    let classification = shared.codec.classify_response(&job.head.id, &head);
    statements::record(shared, job, &slot, &connection, sent, &head, classification);
    let (is_failure, confidence) = match classification {
        Classification::AtCapacity => {
            slot.record(Event::Full);
            job.runs.undo();
            return Err(Failure::NotStarted);
        }
        Classification::InstanceReplaced => {
            slot.record(Event::Refused);
            job.runs.undo();
            return Err(Failure::NotStarted);
        }
        Classification::Mismatched => {
            slot.end();
            slot.record(Event::Failed);
            return Err(Failure::Mismatched);
        }
        Classification::Failed => (true, None),
        Classification::Succeeded { confidence } => (false, confidence),
    };
    let took = shared.clock.now().since(sent);
    slot.release_work();
    slot.record(Event::Began(took));
    if slot.was_idle && options.last_event.is_none() {
        let tokens = job.head.prompt_tokens();
        shared
            .speed()
            .record_prefill(options.model, tokens, took.as_secs_f64());
    }
    Ok(UpstreamResponse {
        slot,
        connection,
        is_unframed: response::is_unframed(&head),
        head,
        body,
        is_failure,
        confidence,
    })
}

/// Records that the connection to the slot's upstream was lost. Returns `failure`, unless it was lost
/// with this VM's path.
pub async fn record_lost<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    slot: &UpstreamSlot<C>,
    connection: &Connection,
    failure: Failure,
) -> Failure {
    let loss = record_loss(shared, job, slot, connection, failure).await;
    lost_failure(loss, failure)
}

/// The failure of an attempt that ended with `failure` as `loss` happened.
const fn lost_failure(loss: Loss, failure: Failure) -> Failure {
    match loss {
        Loss::Connection | Loss::Upstream => failure,
        Loss::Path => Failure::PathLost,
    }
}

/// Records that the connection to the slot's upstream was lost, which ended the attempt with `failure`.
/// Returns what was lost with it.
pub async fn record_loss<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    slot: &UpstreamSlot<C>,
    connection: &Connection,
    failure: Failure,
) -> Loss {
    slot.end();
    let loss = crashes::record_lost(shared, job, &slot.upstream).await;
    let in_flight = shared.balancer().in_flight(&slot.upstream.id);
    log::info!(
        id = job.head.id.as_str(), upstream = slot.upstream.id.as_str(),
        via = connection.via().map_or("", id::Vm::as_str), loss:?, ran:% = failure.ran(), in_flight;
        "connection to the upstream lost"
    );
    if loss != Loss::Path {
        slot.record(Event::Broke);
    }
    loss
}

/// What ended `connection`, and with it an unframed response: an upstream that crashes closes its
/// connections like one that has written all of the body. One that has not read the request has not, unless
/// the response is a failure, which may come before.
pub async fn find_end<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    slot: &UpstreamSlot<C>,
    connection: &Connection,
    is_failure: bool,
) -> Result<End, Failure> {
    slot.end();
    if connection.is_request_pending() && !is_failure {
        log::info!(
            id = job.head.id.as_str(), upstream = slot.upstream.id.as_str();
            "a response without a length ended before the request was written"
        );
        slot.record(Event::Broke);
        return Err(Failure::Truncated);
    }
    match crashes::record_lost(shared, job, &slot.upstream).await {
        Loss::Connection => Ok(End::Complete),
        Loss::Path => Ok(End::Unproven),
        Loss::Upstream => {
            log::info!(
                id = job.head.id.as_str(), upstream = slot.upstream.id.as_str();
                "the upstream crashed as its response without a length ended"
            );
            slot.record(Event::Broke);
            Err(Failure::Truncated)
        }
    }
}

/// Completes at the job's deadline. Until then, `overdue` is set while the response head is overdue and
/// the job may be sent again beside this attempt.
async fn watch_for_head<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    slot: &UpstreamSlot<C>,
    sent: time::Moment,
    may_retry: bool,
    overdue: &Overdue,
) -> Failure {
    let kind = job.route.kind;
    let (silence_limit, limit) = if !kind.is_idempotent() || !may_retry {
        (Duration::MAX, Duration::MAX)
    } else if kind.is_stream() {
        (
            SILENCE_TIMEOUT,
            job.route.target_latency * FIRST_EVENT_TIMEOUT_FACTOR,
        )
    } else {
        // Leaves half of the time for a retry.
        let half = job.deadline.since(job.started) / 2;
        (half, half)
    };
    let mut is_recorded = false;
    let mut has_path = true;
    let mut check_after = match silence_limit {
        Duration::MAX => Duration::MAX,
        _ => PATH_CHECK_SILENCE,
    };
    let mut failure = Failure::TimedOut;
    loop {
        let now = shared.clock.now();
        let left = job.deadline.since(now);
        if left.is_zero() {
            return failure;
        }
        let silence = shared.balancer().silence(&slot.upstream.id, sent, now);
        let waited = now.since(sent);
        let is_silent = silence >= silence_limit;
        let is_overdue = is_silent || waited >= limit;
        if is_overdue {
            let is_first = !std::mem::replace(&mut is_recorded, true);
            if is_first && is_silent {
                failure = record_silent(shared, slot, failure).await;
            } else if is_first {
                slot.record(Event::Failed);
            }
        }
        // An attempt that is overdue asks for another one without this check.
        if silence >= check_after && !is_overdue {
            check_after = Duration::MAX;
            let check = path::is_direct(shared, &slot.upstream);
            has_path = tokio::time::timeout(left, check).await.unwrap_or(true);
        }
        overdue.set(if has_path {
            is_overdue.then_some(failure)
        } else {
            Some(Failure::PathLost)
        });
        let rest = silence_limit.min(check_after).saturating_sub(silence);
        let rest = rest
            .min(limit.saturating_sub(waited))
            .max(MIN_POLL_INTERVAL);
        tokio::time::sleep(left.min(rest)).await;
    }
}

/// Records that the slot's upstream is silent. Returns `failure`, unless this VM lost its path.
pub async fn record_silent<C: Codec>(
    shared: &Arc<Shared<C>>,
    slot: &UpstreamSlot<C>,
    failure: Failure,
) -> Failure {
    if path::is_sound(shared, &slot.upstream).await {
        slot.record(Event::Silent);
        failure
    } else {
        Failure::PathLost
    }
}

fn build_request<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    body: Bytes,
    upstream: &directory::Upstream,
    options: AttemptOptions<'_>,
) -> http::Request<Full<Bytes>> {
    let mut request = http::Request::new(Full::new(body));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = job.headers.clone();
    let attempt = Attempt {
        upstream: &upstream.id,
        organisation: job.organisation(),
        time_left: shutdown::deadline(shared, job).since(shared.clock.now()),
        model: options.model,
        priority: job.priority(),
        last_event: options.last_event,
    };
    shared
        .codec
        .add_attempt_headers(&attempt, request.headers_mut());
    request
}

/// Records the result of an attempt in metrics, the log and rollout evidence.
fn record_result<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    upstream: &Arc<directory::Upstream>,
    options: AttemptOptions<'_>,
    sent: time::Moment,
    result: &Result<UpstreamResponse<C>, Failure>,
) {
    let took = shared.clock.now().since(sent);
    let name = match result {
        Ok(response) if response.is_failure => "failed",
        Ok(_) => "answered",
        Err(failure) => failure.as_str(),
    };
    let head = match result {
        Ok(response) if response.is_failure => HeadOutcome::Failed,
        Ok(_) => HeadOutcome::Received,
        Err(Failure::ConnectionLost) => HeadOutcome::Lost,
        Err(Failure::Mismatched | Failure::BadStatus | Failure::Malformed) => HeadOutcome::Failed,
        Err(_) => HeadOutcome::NotRun,
    };
    if matches!(result, Err(Failure::TimedOut)) {
        rollout_evidence::record_timeout(shared, job, upstream, sent);
    }
    rollout_evidence::record_head(shared, job, upstream, options, sent, took, head);
    shared
        .metrics
        .attempts
        .with_label_values(&[job.service.as_str(), name])
        .inc();
    if name != "answered" {
        log::info!(
            id = job.head.id.as_str(), upstream = upstream.id.as_str(), version = upstream.version.as_str(),
            model = options.model.map_or("", id::Model::as_str), result = name,
            took_ms = response::millis(took);
            "attempt did not succeed"
        );
    }
}
