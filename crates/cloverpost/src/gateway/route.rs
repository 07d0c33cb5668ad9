//! Admission of requests and dispatch by the kind of their route.

use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use cloverpost_core::clients::Stage;
use cloverpost_core::pushback::Block;
use cloverpost_core::refusal::{Code, Refusal};
use cloverpost_core::{directory, id, startup, time};
use futures_util::Stream;
use http::{HeaderValue, Method, Request, Response, header};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};

use crate::gateway::caller_stream::ReadBy;
use crate::gateway::clients::{self, Client};
use crate::gateway::codec::{Codec, RequestHead};
use crate::gateway::footprint::{self, Footprint, NoMemory};
use crate::gateway::in_flight::InFlightGuard;
use crate::gateway::job::Job;
use crate::gateway::response::{self, FullResponse};
use crate::gateway::retained::Retained;
use crate::gateway::runs::Runs;
use crate::gateway::shared::Phase;
use crate::gateway::startup::wait_until_routable;
use crate::gateway::stream::{self, StreamAborted, StreamStart};
use crate::gateway::unary::{self, Outcome};
use crate::gateway::{Shared, crashes, selection, shutdown, upload};

/// A response with a full body or a stream of events.
type RouteResponse<S> = Response<RouteBody<S>>;
/// A full body or a stream of events.
type RouteBody<S> = Either<Full<Bytes>, Pin<Box<StreamBody<S>>>>;
/// Events of a stream.
type EventFrame = Result<Frame<Bytes>, StreamAborted>;

/// Handles one request of a caller, which arrived on the connection of `client`.
pub async fn handle<C: Codec>(
    shared: Arc<Shared<C>>,
    client: Arc<Client>,
    request: Request<Incoming>,
) -> Response<clients::Served<RouteBody<impl Stream<Item = EventFrame> + Send + 'static + use<C>>>>
{
    let started = shared.clock.now();
    let (head, mut body) = request.into_parts();
    let expects_leave = head.headers.contains_key(header::EXPECT);
    let mut response = match admit(&shared, &client, head, &mut body, started).await {
        Err((head, refusal)) => {
            let mut response = response::refusal_response(&refusal);
            let status = response.status().as_u16();
            record_end(
                &shared,
                head.as_ref(),
                "",
                refusal.code.as_str(),
                status,
                started,
            );
            if matches!(
                refusal.code,
                Code::BodyTooLarge | Code::Overloaded | Code::SlowClient | Code::Stopping
            ) {
                set_close(&mut response);
            }
            if !body.is_end_stream() && !expects_leave {
                discard_rest(&shared, &client, body);
            }
            // Lets others take a turn: a client may send refused requests without end.
            tokio::task::yield_now().await;
            response.map(|body| Either::Left(Full::new(body)))
        }
        Ok(job) => respond(&shared, job).await,
    };
    if *shared.phase.borrow() >= Phase::Leaving {
        set_close(&mut response);
    }
    response.map(|body| clients::Served::new(body, client))
}

/// Tells the caller that its connection will be closed.
fn set_close<B>(response: &mut Response<B>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

/// Discards the rest of a refused request of `client` while the refusal is sent.
fn discard_rest<C: Codec>(shared: &Shared<C>, client: &Arc<Client>, body: Incoming) {
    let (client, max_bytes) = (client.clone(), shared.limits().body_bytes);
    client.set_discarding(true);
    tokio::spawn(async move {
        upload::discard(body, max_bytes).await;
        client.set_discarding(false);
    });
}

async fn respond<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: Job,
) -> RouteResponse<impl Stream<Item = EventFrame> + Send + 'static + use<C>> {
    if crashes::is_quarantined(shared, &job).await {
        let refusal = crashes::refusal(shared, &job);
        let response = response::refusal_response(&refusal);
        record_refusal(shared, &job, &refusal, &response);
        return response.map(|body| Either::Left(Full::new(body)));
    }
    if job.route.kind.is_stream() {
        return respond_with_stream(shared, job).await;
    }
    let response = respond_in_full(shared, job).await;
    response.map(|body| Either::Left(Full::new(body)))
}

type AdmissionError = (Option<RequestHead>, Refusal);

async fn admit<C: Codec>(
    shared: &Shared<C>,
    client: &Arc<Client>,
    head: http::request::Parts,
    body: &mut Incoming,
    started: time::Moment,
) -> Result<Job, AdmissionError> {
    let request_head = shared
        .codec
        .decode_request(&head)
        .map_err(|malformed| (None, Refusal::not_run(Code::MalformedHeader, malformed.0)))?;
    let footprint = Footprint::of(&head, &request_head);
    let memory = match footprint.reserve(client, &shared.uploads) {
        Ok(memory) => memory,
        Err(full) => return Err((Some(request_head), full.into())),
    };
    let waiting = startup_request(&head, &request_head);
    if let Err(refusal) = wait_until_routable(shared, &request_head, &waiting).await {
        return Err((Some(request_head), refusal));
    }
    let view = shared.view.load_full();
    let Some(index) = view.index.clone() else {
        let refusal = Refusal::not_run(Code::Unconfirmed, "no configuration is known yet");
        return Err((Some(request_head), refusal));
    };
    let target = match Target::find(&index, &head, &request_head) {
        Ok(target) => target,
        Err(refusal) => return Err((Some(request_head), refusal)),
    };
    let route = target.route;
    let timeout = request_head
        .timeout
        .unwrap_or(route.timeout)
        .min(route.timeout);
    let options = upload::Options {
        limits: index.limits(),
        memory: &shared.uploads,
        // Leaves half of the time for the upstream.
        max_wait: timeout / 2,
        head_bytes: footprint.counted_bytes(),
    };
    let deadline = started + timeout;
    let received = tokio::select! {
        received = upload::receive(client, body, options) => received.map_err(into_refusal),
        () = shutdown::too_late(shared, &route, deadline) => Err(shutdown::refusal()),
    };
    let body = match received {
        Ok(body) => body,
        Err(refusal) => return Err((Some(request_head), refusal)),
    };
    let bytes = footprint.counted_bytes() + footprint::counted_body_bytes(&body);
    if !client.begin(Stage::Busy, bytes) {
        return Err((Some(request_head), NoMemory.into()));
    }
    if !shutdown::admits(shared, &route, deadline) {
        return Err((Some(request_head), shutdown::refusal()));
    }
    Ok(Job {
        service: target.service,
        headers: shared.codec.forwarded_headers(&head.headers),
        sender: target.sender,
        method: head.method,
        uri: head.uri,
        body: Retained::new(body),
        started,
        admitted: shared.clock.now(),
        deadline,
        head: request_head,
        route,
        runs: Runs::default(),
        fingerprint: Arc::default(),
        client: client.clone(),
        memory,
    })
}

/// Where a request is to be sent, and for whom.
struct Target {
    route: Arc<directory::Route>,
    sender: Option<Arc<directory::Sender>>,
    service: id::Pool,
}

impl Target {
    fn find(
        index: &directory::Index,
        head: &http::request::Parts,
        request_head: &RequestHead,
    ) -> Result<Self, Refusal> {
        let refuse = |code, message: &str| Refusal::not_run(code, message);
        let host = head
            .headers
            .get(header::HOST)
            .and_then(|host| host.to_str().ok());
        let host = host.or(head.uri.host()).unwrap_or_default();
        let route = index
            .route(host, head.uri.path())
            .map_err(|_| refuse(Code::UnknownPath, "no route takes this host and path"))?;
        let sender = index
            .sender(route, request_head.key.as_deref())
            .map_err(|_| refuse(Code::UnknownKey, "the key is not known"))?;
        let destination = route
            .destination(rand::random())
            .ok_or_else(|| refuse(Code::NoUpstream, "the route leads nowhere"))?;
        Ok(Self {
            route: route.clone(),
            sender: sender.cloned(),
            service: destination.service.clone(),
        })
    }
}

fn into_refusal((code, message): upload::Error) -> Refusal {
    Refusal::not_run(code, message)
}

/// What decides whether a request waits for the first configuration.
fn startup_request(head: &http::request::Parts, request_head: &RequestHead) -> startup::Request {
    let length = head.headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
    let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
    startup::Request {
        timeout: request_head.timeout,
        is_repeatable: matches!(head.method, Method::GET | Method::HEAD),
        body_bytes: if is_chunked { None } else { length.or(Some(0)) },
    }
}

async fn respond_with_stream<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: Job,
) -> RouteResponse<impl Stream<Item = EventFrame> + Send + 'static + use<C>> {
    let logged_job = job.clone();
    let in_flight = InFlightGuard::new(&shared.metrics);
    let mut watch = shared.end.subscribe();
    let start = tokio::select! {
        start = stream::start(shared, job) => start,
        () = shutdown::ended(shared, &mut watch) => {
            StreamStart::Refused(shutdown::refusal_at_end(&logged_job))
        }
    };
    let response = match start {
        StreamStart::Streaming(relay) => {
            let now = shared.clock.now();
            let seconds = now.since(logged_job.started).as_secs_f64();
            shared
                .metrics
                .first_byte
                .with_label_values(&[logged_job.route.name.as_str()])
                .observe(seconds);
            let mut response = Response::new(());
            *response.status_mut() = relay.head.status;
            *response.headers_mut() = crate::front::headers::end_to_end(&relay.head.headers);
            let left = logged_job.deadline.since(now);
            response.extensions_mut().insert(ReadBy::of_stream(left));
            return response
                .map(|()| Either::Right(Box::pin(StreamBody::new(relay.frames(in_flight)))));
        }
        StreamStart::Failed(response) => {
            record_job_end(shared, &logged_job, "failed", &response);
            response
        }
        StreamStart::Refused(refusal) => {
            let response = response::refusal_response(&refusal);
            record_refusal(shared, &logged_job, &refusal, &response);
            response
        }
    };
    response.map(|body| Either::Left(Full::new(body)))
}

/// Runs a request with a non-streaming response.
///
/// A non-idempotent request runs in its own task, so that it completes even if the caller
/// disconnects; if it were cancelled, its outcome would be unknown.
async fn respond_in_full<C: Codec>(shared: &Arc<Shared<C>>, job: Job) -> FullResponse {
    if job.route.kind.is_idempotent() {
        return run_counted(shared.clone(), job).await;
    }
    let task = tokio::spawn(run_counted(shared.clone(), job));
    task.await.unwrap_or_else(|error| {
        log::error!(why:% = error; "the task of a non-idempotent request failed");
        response::refusal_response(&Refusal::uncertain(
            Code::Internal,
            "the request failed inside the router",
        ))
    })
}

async fn run_counted<C: Codec>(shared: Arc<Shared<C>>, job: Job) -> FullResponse {
    let _in_flight = InFlightGuard::new(&shared.metrics);
    let mut watch = shared.end.subscribe();
    let outcome = tokio::select! {
        outcome = unary::run(&shared, &job) => outcome,
        () = shutdown::ended(&shared, &mut watch) => Outcome::Refused(shutdown::refusal_at_end(&job)),
    };
    match outcome {
        Outcome::Answered(response) => {
            let took = shared.clock.now().since(job.admitted);
            shared.durations().record(&job.route.name, took);
            let seconds = shared.clock.now().since(job.started).as_secs_f64();
            shared
                .metrics
                .first_byte
                .with_label_values(&[job.route.name.as_str()])
                .observe(seconds);
            let outcome = if response.status().is_success() {
                "answered"
            } else {
                "failed"
            };
            record_job_end(&shared, &job, outcome, &response);
            response
        }
        Outcome::Refused(refusal) => {
            let response = response::refusal_response(&refusal);
            record_refusal(&shared, &job, &refusal, &response);
            response
        }
    }
}

fn record_refusal<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    refusal: &Refusal,
    response: &FullResponse,
) {
    let (taken, places) = selection::occupancy(shared, &job.service);
    let cold = selection::count_cold_upstreams(shared, &job.service);
    let leaving = selection::count_blocked(shared, &job.service, Block::Leaving);
    let resting = selection::count_blocked(shared, &job.service, Block::Resting);
    let evacuated = shared.view.load().evacuated.len();
    let limit = selection::stated_rate(shared, &job.service);
    let limit = limit.map_or_else(String::new, |rate| rate.to_string());
    log::info!(
        id = job.head.id.as_str(), code = refusal.code.as_str(), ran:% = refusal.ran,
        why = refusal.message.as_str(), service = job.service.as_str(), taken, places, cold, leaving, resting,
        evacuated, limit;
        "no upstream answered"
    );
    record_job_end(shared, job, refusal.code.as_str(), response);
}

fn record_job_end<C: Codec>(shared: &Shared<C>, job: &Job, outcome: &str, response: &FullResponse) {
    let status = response.status().as_u16();
    record_end(
        shared,
        Some(&job.head),
        job.route.name.as_str(),
        outcome,
        status,
        job.started,
    );
}

fn record_end<C: Codec>(
    shared: &Shared<C>,
    head: Option<&RequestHead>,
    route: &str,
    outcome: &str,
    status: u16,
    started: time::Moment,
) {
    shared
        .metrics
        .requests
        .with_label_values(&[route, outcome])
        .inc();
    let took = shared.clock.now().since(started);
    let view = shared.view.load();
    log::info!(
        id = head.map_or("", |head| head.id.as_str()), route, outcome, status,
        configuration = view.index.as_ref().map_or(0, |index| index.number()),
        took_ms = response::millis(took);
        "request ended"
    );
}
