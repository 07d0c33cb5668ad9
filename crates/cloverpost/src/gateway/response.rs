//! Responses to callers.

use std::time::Duration;

use bytes::Bytes;
use cloverpost_core::refusal::{Code, Ran, Refusal};
use http::{HeaderValue, Response, StatusCode, header};

/// A response with its full body.
pub type FullResponse = Response<Bytes>;

/// Lower bound of the random part of `Retry-After`.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);
/// Upper bound of the random part of `Retry-After`. The jitter keeps refused callers from
/// retrying all at once.
pub const RETRY_AFTER_MAX: Duration = Duration::from_millis(600);

/// Whether the body of a response to a request with a method other than HEAD ends with its connection.
pub fn is_unframed(head: &http::response::Parts) -> bool {
    let headers = &head.headers;
    let has_body = !matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    has_body
        && !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// Renders a refusal as an HTTP response.
///
/// Callers retry a request on the statuses that state that it did not run. Unless that
/// is certain, another status is sent, so that a request is not executed twice.
pub fn refusal_response(refusal: &Refusal) -> FullResponse {
    let status = status(refusal);
    let text = format!(
        "{{\"error\":{{\"code\":\"{}\",\"message\":\"{}\",\"ran\":\"{}\"}}}}\n",
        refusal.code.as_str(),
        refusal.message,
        refusal.ran,
    );
    let mut response = Response::new(Bytes::from(text));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let may_return = refusal.code.retry_after().is_some() || refusal.opens_after.is_some();
    if refusal.ran == Ran::No && may_return {
        let jitter = rand::random_range(RETRY_AFTER_MIN..RETRY_AFTER_MAX);
        let opens_after = refusal.opens_after.unwrap_or_default();
        let retry_after = match refusal.code {
            // The delay is drawn at random already.
            Code::Unconfirmed => refusal.retry_after,
            _ => None,
        };
        let retry_after = retry_after.unwrap_or(opens_after.saturating_add(jitter));
        let seconds = retry_after.as_secs_f64();
        if let Ok(value) = HeaderValue::try_from(format!("{seconds:.2}")) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

fn status(refusal: &Refusal) -> StatusCode {
    let status = StatusCode::from_u16(refusal.code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let promises_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    match (promises_not_run, refusal.ran, refusal.code) {
        (true, Ran::Unknown | Ran::Yes, _) | (_, Ran::Unknown | Ran::Yes, Code::Quarantined) => {
            StatusCode::BAD_GATEWAY
        }
        // The deadline passed before the request ran, or its quarantine will be over, so the
        // caller may retry it.
        (false, Ran::No, Code::TimedOut | Code::Quarantined) => StatusCode::SERVICE_UNAVAILABLE,
        _ => status,
    }
}

/// `span` in whole milliseconds, for log fields.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
