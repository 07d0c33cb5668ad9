//! Responses.

use std::fmt;

use bytes::Bytes;
use cloverpost_platform::fault;
use http_body_util::Full;
use hyper::{Response, StatusCode, header};

/// A response.
pub type Reply = Response<Full<Bytes>>;

/// Closes the connection without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoResponse;

impl fmt::Display for NoResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed without a response")
    }
}

impl std::error::Error for NoResponse {}

/// Creates a response without a body.
pub fn status(status: StatusCode) -> Reply {
    text(status, "")
}

/// Creates a response with a text body.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(text.into()));
    *reply.status_mut() = status;
    reply
}

/// Creates a response with a JSON body and the given media type.
pub fn json(
    status: StatusCode,
    media_type: &'static str,
    message: &impl serde::Serialize,
) -> Reply {
    let Ok(body) = serde_json::to_vec(message) else {
        return self::status(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut reply = text(status, body);
    let media_type = header::HeaderValue::from_static(media_type);
    reply.headers_mut().insert(header::CONTENT_TYPE, media_type);
    reply
}

/// Returns the response to a failed call: `rejection` if it had no effect, or none if its effect is
/// unknown.
pub fn fault_response(fault: &fault::Fault, rejection: Reply) -> Result<Reply, NoResponse> {
    match fault.effect {
        fault::Effect::None => Ok(rejection),
        fault::Effect::Unknown => Err(NoResponse),
    }
}
