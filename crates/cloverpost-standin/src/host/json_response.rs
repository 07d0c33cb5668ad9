//! Responses with a JSON body.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};

use crate::host::{Body, Call, ChunkedResponse, Controls, call, reply};
use crate::journal::RunGuard;
use crate::script::{Fault, Point};

/// Sends a JSON response with a scripted fault, if any.
#[derive(Debug)]
pub struct JsonResponse<'a> {
    /// The request.
    pub call: &'a Call,
    /// Controls of the stand-in.
    pub controls: &'a Controls,
    /// Fault to apply.
    pub fault: Option<Fault>,
    /// Run of the request, if it is journaled. Sending the response closes it.
    pub run: Option<RunGuard>,
}

impl JsonResponse<'_> {
    /// Sends `value` as the body.
    pub async fn send(
        mut self,
        status: StatusCode,
        value: &impl serde::Serialize,
    ) -> Response<Body> {
        let mut response = reply::json(status, value);
        let Some(fault) = self.fault.take() else {
            if let Some(mut run) = self.run {
                run.finish();
            }
            return response;
        };
        if fault == Fault::OtherResponse {
            set_other_request_id(&mut response, self.call, self.controls);
        }
        let text = serde_json::to_vec(value).map_or_else(|_| Bytes::new(), Bytes::from);
        let (chunks, last_chunk) = ChunkedResponse::split(&text);
        let mut chunked = ChunkedResponse {
            chunks,
            last_chunk,
            first_delay: Duration::ZERO,
            chunk_delay: Duration::ZERO,
            fault: Some(fault),
            run: self.run,
            connection: self.call.connection.clone(),
            controls: self.controls.clone(),
        };
        if !chunked.apply_fault_at(Point::BeforeHeaders).await {
            return Response::new(Body::full(""));
        }
        *response.body_mut() = chunked.start((), || {});
        response
    }
}

/// Sets the request ID of `response` to that of a request other than `call`.
pub fn set_other_request_id(response: &mut Response<Body>, call: &Call, controls: &Controls) {
    if let Ok(id) = HeaderValue::from_str(&other_request_id(call, controls)) {
        response.headers_mut().insert(call::REQUEST_ID, id);
    }
}

/// Returns the ID of a journaled request other than `call`, or a fixed ID if there is none.
pub fn other_request_id(call: &Call, controls: &Controls) -> String {
    let other = controls.journal().other_request_id(call.request_id());
    other.unwrap_or_else(|| "0".repeat(32))
}
