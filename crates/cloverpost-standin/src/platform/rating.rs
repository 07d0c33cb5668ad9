//! Rating service.

use bytes::Bytes;
use cloverpost_platform::memory;
use cloverpost_platform::rating::{Rater as _, RatingRequest, RatingResponse};
use hyper::StatusCode;

use crate::platform::reply;

/// Rates an answer.
pub async fn handle(
    rater: &memory::Rater,
    body: &Bytes,
) -> Result<reply::Reply, reply::NoResponse> {
    let request: RatingRequest<'_> = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return Ok(reply::text(StatusCode::BAD_REQUEST, error.to_string())),
    };
    let RatingRequest {
        class,
        prompt,
        answer,
    } = request;
    match rater.rate(&class, &prompt, &answer).await {
        Ok(verdict) => {
            let response = RatingResponse { verdict };
            Ok(reply::json(StatusCode::OK, "application/json", &response))
        }
        Err(fault) => reply::fault_response(&fault, reply::status(StatusCode::SERVICE_UNAVAILABLE)),
    }
}
