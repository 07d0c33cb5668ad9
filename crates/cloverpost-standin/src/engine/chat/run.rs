//! Execution of chat requests.

use std::sync::Arc;

use http::{HeaderValue, Response, StatusCode, header};
use tokio::time;

use crate::engine::Target;
use crate::engine::chat::{self, Answer};
use crate::engine::queue::Slot;
use crate::engine::replica::Unavailable;
use crate::engine::state::State;
use crate::host::{self, Body, Call, ChunkedResponse, JsonResponse, reply};
use crate::journal::RunGuard;
use crate::script::{Fault, Point};

/// An admitted request with a slot.
struct Job<'a> {
    state: &'a Arc<State>,
    call: Call,
    fault: Option<Fault>,
    answer: Answer,
    slot: Slot,
    run: RunGuard,
}

/// Handles a chat request.
pub async fn serve(state: &Arc<State>, call: Call) -> Response<Body> {
    match start(state, call).await {
        Ok((job, true)) => job.stream().await,
        Ok((job, false)) => job.respond().await,
        Err(response) => response,
    }
}

/// Admits a request, queues it and starts its run. Returns whether its answer is streamed.
async fn start(state: &Arc<State>, call: Call) -> Result<(Job<'_>, bool), Response<Body>> {
    let fault = host::admit(&call, &state.controls).await?;
    let request: chat::Request = serde_json::from_slice(&call.body)
        .map_err(|error| reply::not_started(StatusCode::BAD_REQUEST, &error.to_string()))?;
    let target = state
        .replicas
        .resolve(&request.target())
        .map_err(reject_unavailable)?;
    let slot = state.queue.acquire(request.priority).await;
    let slot =
        slot.map_err(|_| reply::not_started(StatusCode::TOO_MANY_REQUESTS, "queue is full"))?;
    let run = state
        .controls
        .journal()
        .start(call.new_run(target.to_string()));
    let answer = generate_answer(state, &call, &request, target, fault.as_ref());
    let job = Job {
        state,
        call,
        fault,
        answer,
        slot,
        run,
    };
    Ok((job, request.stream))
}

fn reject_unavailable(reason: Unavailable) -> Response<Body> {
    match reason {
        Unavailable::Asleep => reply::not_started(StatusCode::SERVICE_UNAVAILABLE, "model asleep"),
        Unavailable::Unknown => reply::not_started(StatusCode::NOT_FOUND, "no such model"),
    }
}

/// Generates the answer to `request`, or to another request if `fault` requires it.
fn generate_answer(
    state: &State,
    call: &Call,
    request: &chat::Request,
    target: Target,
    fault: Option<&Fault>,
) -> Answer {
    let mut id = call.request_id().unwrap_or_default().to_owned();
    let mut digest = chat::digest(&request.messages, &target);
    if fault == Some(&Fault::OtherResponse) {
        id = host::other_request_id(call, &state.controls);
        digest = chat::digest(&[id.clone().into()], &target);
    }
    let bad = state.sampler.is_bad(&target, &id, &digest);
    let tokens = state.options.tokens;
    Answer::new(&id, target, request, digest, bad, tokens)
}

impl Job<'_> {
    async fn respond(self) -> Response<Body> {
        let options = &self.state.options;
        let tokens = u32::try_from(self.answer.tokens()).unwrap_or(u32::MAX);
        time::sleep(options.first_token + options.token_interval * (tokens - 1)).await;
        self.state.load.add_tokens(tokens.into());
        let json = JsonResponse {
            call: &self.call,
            controls: &self.state.controls,
            fault: self.fault,
            run: Some(self.run),
        };
        let response = json
            .send(StatusCode::OK, &self.answer.to_completion())
            .await;
        drop(self.slot);
        response
    }

    async fn stream(self) -> Response<Body> {
        let (chunks, last_chunk) = self.answer.events();
        let mut chunked = ChunkedResponse {
            chunks,
            last_chunk,
            first_delay: self.state.options.first_token,
            chunk_delay: self.state.options.token_interval,
            fault: self.fault.clone(),
            run: Some(self.run),
            connection: self.call.connection.clone(),
            controls: self.state.controls.clone(),
        };
        if !chunked.apply_fault_at(Point::BeforeHeaders).await {
            return Response::new(Body::full(""));
        }
        let state = self.state.clone();
        let body = chunked.start(self.slot, move || state.load.add_tokens(1));
        let mut response = Response::new(body);
        let content_type = HeaderValue::from_static("text/event-stream");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        if self.fault == Some(Fault::OtherResponse) {
            host::set_other_request_id(&mut response, &self.call, &self.state.controls);
        }
        response
    }
}
