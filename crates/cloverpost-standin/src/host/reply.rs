//! Simple responses.

use http::{Response, StatusCode, header};

use crate::host::Body;

/// Response header with which an upstream states that it did not start the request.
pub const NOT_STARTED: &str = "x-not-started";

/// Creates a response with a JSON body.
///
/// # Panics
///
/// If `value` cannot be serialized as JSON.
pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("response types serialize to JSON");
    let mut response = Response::new(Body::full(text));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Creates an error response that does not state whether the request started.
#[must_use]
pub fn error(status: StatusCode, message: &str) -> Response<Body> {
    let error = serde_json::json!({ "error": { "message": message } });
    json(status, &error)
}

/// Creates an error response that states that the request did not start.
#[must_use]
pub fn not_started(status: StatusCode, message: &str) -> Response<Body> {
    let mut response = error(status, message);
    let value = header::HeaderValue::from_static("1");
    response.headers_mut().insert(NOT_STARTED, value);
    response
}
