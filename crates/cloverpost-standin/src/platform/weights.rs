//! Weight store.

use std::time::Duration;

use cloverpost_platform::memory;
use cloverpost_platform::weights::{Grant, Weights as _};
use hyper::{StatusCode, header};

use crate::platform::reply;

/// Grants a load or returns the time to wait.
pub async fn handle(
    weights: &memory::Weights,
    model: &str,
    version: &str,
) -> Result<reply::Reply, reply::NoResponse> {
    let (Ok(model), Ok(version)) = (model.parse(), version.parse()) else {
        return Ok(reply::status(StatusCode::BAD_REQUEST));
    };
    match weights.reserve(&model, &version).await {
        Ok(Grant::Granted) => Ok(reply::status(StatusCode::NO_CONTENT)),
        Ok(Grant::Wait(wait)) => Ok(rate_limited(wait)),
        Err(fault) => reply::fault_response(&fault, reply::status(StatusCode::SERVICE_UNAVAILABLE)),
    }
}

/// Creates a response with the wait in `Retry-After`, rounded up to whole seconds.
fn rate_limited(wait: Duration) -> reply::Reply {
    let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
    let mut reply = reply::status(StatusCode::TOO_MANY_REQUESTS);
    reply
        .headers_mut()
        .insert(header::RETRY_AFTER, seconds.into());
    reply
}
