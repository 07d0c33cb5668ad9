//! Calls with an idempotency key.

use std::str::FromStr;

use bytes::Bytes;
use cloverpost_core::billing::Kind;
use cloverpost_core::claim::{Key, RequestHash};
use cloverpost_core::refusal::{Code, Ran, Refusal};
use cloverpost_platform::Platform;
use http::{HeaderName, Response};

use crate::claim::take;
use crate::front::execute::{FullResponse, UpstreamResponse};
use crate::front::job::Job;
use crate::front::{Context, bill, execute};

/// Header that identifies retries of a call.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Parses the idempotency key of a request, if it has one.
pub fn key(headers: &http::HeaderMap) -> Result<Option<Key>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    match Key::from_str(text) {
        Ok(key) => Ok(Some(key)),
        Err(error) => {
            let message = format!("Idempotency-Key: {error}");
            Err(Refusal::not_run(Code::MalformedHeader, message))
        }
    }
}

/// Runs `job` at most once for `key`, or replays the stored response of its run.
///
/// A caller that received no response may retry through another VM while the first call
/// is still running. The claim is written to the store before any byte is sent to an
/// upstream, so that only one of the calls is dispatched.
pub async fn run<P: Platform>(
    context: &Context<P>,
    job: &Job,
    key: Key,
) -> Result<FullResponse, Refusal> {
    let call = &job.call;
    let (method, path) = (call.method.as_str(), call.path.as_str());
    let body = RequestHash::of(&job.entry.name, method, path, &call.body);
    let organisation = job.organisation.clone();
    let taken = context
        .claims
        .take(organisation, key, body, job.call.request)
        .await;
    let mut ticket = match taken.map_err(take::Error::refusal)? {
        take::Outcome::Replayed(response) => return Ok(from_stored(response)),
        take::Outcome::Granted(ticket) => ticket,
    };
    ticket.dispatch();
    let result = execute::run(&context.state, job).await;
    match result.and_then(require_full) {
        Ok(full) => {
            // Billed before the claim is completed: if the VM fails in between, the call
            // is billed although its response cannot be replayed. The reverse order could
            // replay a response that was never billed.
            bill::record(&context.state, job, bill::Usage::default(), Kind::Whole).await;
            let response = to_stored(&full);
            context.claims.complete(ticket, &response).await;
            Ok(full)
        }
        // The call did not run, so the key may be used again.
        Err(refusal) if refusal.ran == Ran::No => {
            context.claims.release(ticket).await;
            Err(refusal)
        }
        Err(refusal) => {
            context.claims.mark_unknown(ticket).await;
            Err(refusal)
        }
    }
}

/// Returns the full response of a plain service; streams are not supported.
pub fn require_full(response: UpstreamResponse) -> Result<FullResponse, Refusal> {
    match response {
        UpstreamResponse::Full(full) => Ok(full),
        UpstreamResponse::Stream(_) => {
            let message = "a plain service answered with a stream";
            Err(Refusal::ran(Code::UpstreamFailed, message))
        }
    }
}

fn to_stored(full: &FullResponse) -> Response<Bytes> {
    let mut response = Response::new(full.body.clone());
    *response.status_mut() = full.status;
    *response.headers_mut() = full.headers.clone();
    response
}

fn from_stored(response: Response<Bytes>) -> FullResponse {
    let (head, body) = response.into_parts();
    FullResponse {
        status: head.status,
        headers: head.headers,
        body,
    }
}
