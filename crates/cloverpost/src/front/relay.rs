//! Relays a streamed response to its caller.

use bytes::Bytes;
use cloverpost_core::billing::Kind;
use cloverpost_core::dispatch::Failure;
use cloverpost_core::refusal::Refusal;
use cloverpost_core::{id, poison};
use http::{HeaderValue, Response, header};
use tokio::sync::mpsc;

use crate::front::body::{Aborted, Body};
use crate::front::execute::{self, Stream};
use crate::front::job::Job;
use crate::front::{State, bill, response};
use crate::upstream::events::{Event, Events};

/// Chunks buffered for a slow caller before backpressure reaches the upstream.
const BUFFERED_CHUNKS: usize = 8;

/// Why a relay ended.
enum End {
    /// The end marker was received from the upstream, and the request is billed.
    Complete,
    /// The caller disconnected before the response was complete.
    Disconnected,
    /// The upstream failed in the middle of the response.
    Failed(Failure),
}

/// Starts relaying `stream`, and returns the response with its body.
pub fn start(state: &State, job: Job, stream: Stream) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(BUFFERED_CHUNKS);
    let mut response = Response::new(Body::Stream(receiver));
    let content_type = HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response::set_version(&mut response, &job);
    let state = state.clone();
    state.metrics.in_flight.inc();
    tokio::spawn(async move {
        let mut relay = Relay {
            state: &state,
            job: &job,
            sender: &sender,
            usage: bill::Usage::default(),
            text: String::new(),
        };
        let end = relay.forward(stream.first, stream.rest).await;
        let upstream = stream.slot.upstream().name.clone();
        if matches!(end, End::Complete) {
            stream.slot.record_completion();
        }
        drop(stream.slot);
        if let End::Failed(failure) = end {
            report_crash(&state, &job, failure, upstream).await;
        }
        relay.finish(end).await;
        state.metrics.in_flight.dec();
    });
    response
}

/// A stream that is being relayed.
struct Relay<'a> {
    state: &'a State,
    job: &'a Job,
    sender: &'a mpsc::Sender<Result<Bytes, Aborted>>,
    usage: bill::Usage,
    text: String,
}

impl Relay<'_> {
    async fn forward(&mut self, first: Event, mut rest: Events) -> End {
        let deadline = self.job.deadline();
        let mut event = first;
        loop {
            self.usage.update(&event);
            if self.job.rated_prompt.is_some() {
                self.text.push_str(delta_text(&event));
            }
            let is_end = event == Event::End;
            if is_end {
                // Must precede the end marker, see `bill::record`.
                bill::record(self.state, self.job, self.usage, Kind::Whole).await;
            }
            if is_forwarded(self.job, &event) && self.sender.send(Ok(event.encode())).await.is_err()
            {
                return if is_end {
                    End::Complete
                } else {
                    End::Disconnected
                };
            }
            if is_end {
                return End::Complete;
            }
            let time_left = execute::time_left(self.state, deadline);
            let next = tokio::select! {
                // Detects a disconnect while the upstream is silent. Dropping the stream
                // cancels the run on the upstream.
                () = self.sender.closed() => return End::Disconnected,
                next = tokio::time::timeout(time_left, rest.next()) => next,
            };
            event = match next {
                Err(_elapsed) => return End::Failed(Failure::Stalled),
                Ok(Err(failure)) => return End::Failed(failure),
                Ok(Ok(event)) => event,
            };
        }
    }

    async fn finish(&self, end: End) {
        let Self {
            state, job, usage, ..
        } = self;
        match end {
            End::Complete => {
                response::record_answered(state, job);
                response::record_latency_and_sample(state, job, || self.text.clone());
            }
            End::Disconnected => {
                state.metrics.disconnected.inc();
                bill::record(state, job, *usage, Kind::Cancelled).await;
            }
            End::Failed(failure) => {
                let code = failure.code();
                state
                    .metrics
                    .aborted
                    .with_label_values(&[code.as_str()])
                    .inc();
                bill::record(state, job, *usage, Kind::Cut).await;
                send_error(&Refusal::ran(code, failure.as_str()), self.sender).await;
            }
        }
    }
}

/// Records a failure that may be a crash caused by the request, and notifies the peers.
///
/// Call it before the caller learns of the failure and retries the request.
pub async fn report_crash(state: &State, job: &Job, failure: Failure, upstream: id::Vm) {
    if failure.may_be_crash() {
        let request = job.call.request;
        let evidence = poison::Evidence { request, upstream };
        let now = state.clock.now();
        state
            .quarantine
            .record_crash(vec![(job.fingerprint.into(), evidence)], now)
            .await;
    }
}

/// Builds the response for a buffered stream that is already billed.
pub fn buffered(state: &State, job: &Job, events: &[Event]) -> Response<Body> {
    response::record_answered(state, job);
    let forwarded = events.iter().filter(|event| is_forwarded(job, event));
    let bytes: Vec<u8> = forwarded.flat_map(Event::encode).collect();
    let mut response = Response::new(Body::from(Bytes::from(bytes)));
    let content_type = HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response::set_version(&mut response, job);
    response
}

/// Returns the text of a streamed response.
pub fn text(events: &[Event]) -> String {
    events.iter().map(delta_text).collect()
}

fn delta_text(event: &Event) -> &str {
    match event {
        Event::Chunk(chunk) => {
            let text = chunk["choices"][0]["delta"]["content"].as_str();
            text.unwrap_or_default()
        }
        Event::End => "",
    }
}

/// Whether an event is forwarded to the caller.
///
/// The router requests the usage of every stream for the bill, but forwards it only to
/// callers that requested it.
fn is_forwarded(job: &Job, event: &Event) -> bool {
    let Event::Chunk(chunk) = event else {
        return true;
    };
    let no_choice = chunk["choices"].as_array().is_some_and(Vec::is_empty);
    job.include_usage || !no_choice
}

/// Sends an error event and then aborts the body, so that clients that do not parse events
/// also detect the truncation.
async fn send_error(refusal: &Refusal, sender: &mpsc::Sender<Result<Bytes, Aborted>>) {
    let event = Event::Chunk(response::refusal_json(refusal)).encode();
    // Sending fails only if the caller has disconnected.
    let _ = sender.send(Ok(event)).await;
    let _ = sender.send(Err(Aborted)).await;
}
