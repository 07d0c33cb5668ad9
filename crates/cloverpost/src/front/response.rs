//! Responses to callers.

use bytes::Bytes;
use cloverpost_core::id;
use cloverpost_core::refusal;
use http::{HeaderValue, Response, StatusCode, header};

use crate::front::job::Job;
use crate::front::{Body, State, cascade, execute, headers};

/// Builds a response with a JSON body.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Response<Body> {
    let mut response = Response::new(Body::from(Bytes::from(value.to_string())));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Builds the JSON body of a refusal.
pub fn refusal_json(refusal: &refusal::Refusal) -> serde_json::Value {
    serde_json::json!({"error": {
        "type": refusal.code.kind(),
        "code": refusal.code.as_str(),
        "message": refusal.message,
        "ran": refusal.ran.to_string(),
    }})
}

/// Builds the response for a refusal.
pub fn refusal(refusal: &refusal::Refusal) -> Response<Body> {
    let status =
        StatusCode::from_u16(refusal.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json(status, &refusal_json(refusal));
    let headers = response.headers_mut();
    let ran = HeaderValue::from_static(match refusal.ran {
        refusal::Ran::No => "no",
        refusal::Ran::Yes => "yes",
        refusal::Ran::Unknown => "unknown",
    });
    headers.insert(headers::RAN, ran);
    if let Some(wait) = refusal.retry_after {
        // Rounded up, so that clients do not retry too early.
        let seconds = wait.as_millis().div_ceil(1_000);
        let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
        headers.insert(header::RETRY_AFTER, seconds.into());
    }
    response
}

/// Builds the response that passes on `full`, and records it in the metrics.
pub fn full(state: &State, job: &Job, full: execute::FullResponse) -> Response<Body> {
    record_answered(state, job);
    let mut response = Response::new(Body::from(full.body));
    *response.status_mut() = full.status;
    *response.headers_mut() = full.headers;
    set_version(&mut response, job);
    response
}

/// Records a complete response and its duration in the metrics.
pub fn record_answered(state: &State, job: &Job) {
    let entry = job.entry.name.as_str();
    let seconds = state.clock.now().since(job.received).as_secs_f64();
    let metrics = &state.metrics;
    metrics
        .answered
        .with_label_values(&[entry, job.organisation.as_str()])
        .inc();
    metrics.seconds.with_label_values(&[entry]).observe(seconds);
}

/// Records the latency of the entry, and submits the response for rating if it was
/// selected for it. `text` is called only then.
pub fn record_latency_and_sample(state: &State, job: &Job, text: impl FnOnce() -> String) {
    let took = state.clock.now().since(job.entry_start);
    state.ratings.record_answer(&job.entry.name, took);
    if let Some(prompt) = &job.rated_prompt {
        let class = job.entry.class.clone();
        let key = cascade::evidence_key(job);
        state.ratings.sample(key, class, prompt.clone(), text());
    }
}

/// Sets the header that names the entry.
pub fn set_version(response: &mut Response<Body>, job: &Job) {
    if let Ok(version) = HeaderValue::try_from(job.entry.name.as_str()) {
        response.headers_mut().insert(headers::VERSION, version);
    }
}

/// Sets the header with the id of the request.
pub fn set_request_id(response: &mut Response<Body>, request: id::Request) {
    if let Ok(value) = HeaderValue::try_from(request.to_string()) {
        response.headers_mut().insert(headers::REQUEST, value);
    }
}

/// Asks the client to close the connection after this response.
///
/// A graceful shutdown closes idle connections. A client that sends a request at the same
/// moment receives no response and cannot know whether the request ran.
pub fn close_connection(response: &mut Response<Body>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}
