//! Object store.

use bytes::Bytes;
use cloverpost_platform::memory;
use cloverpost_platform::objects::{self, Objects as _};
use hyper::{Request, StatusCode, header};

use crate::platform::reply;

/// Response body of a throttled request, which had no effect.
const SLOW_DOWN: &str = "<Error><Code>SlowDown</Code></Error>";

/// Response body for an object that does not exist.
const NO_SUCH_KEY: &str = "<Error><Code>NoSuchKey</Code></Error>";

/// Reads an object.
pub async fn get(store: &memory::Objects, name: &str) -> Result<reply::Reply, reply::NoResponse> {
    match store.get(name).await {
        Ok(Some(body)) => Ok(reply::text(StatusCode::OK, body)),
        Ok(None) => Ok(reply::text(StatusCode::NOT_FOUND, NO_SUCH_KEY)),
        Err(fault) => reply::fault_response(&fault, slow_down()),
    }
}

/// Creates an object. A `PUT` that could replace an object is not supported.
pub async fn put(
    store: &memory::Objects,
    name: &str,
    request: &Request<Bytes>,
) -> Result<reply::Reply, reply::NoResponse> {
    let condition = request.headers().get(header::IF_NONE_MATCH);
    if condition.is_none_or(|value| value != "*") {
        return Ok(reply::status(StatusCode::NOT_IMPLEMENTED));
    }
    if let Err(fault) = objects::validate_name(name) {
        return Ok(reply::text(StatusCode::BAD_REQUEST, fault.reason));
    }
    match store.create(name, request.body().clone()).await {
        Ok(true) => Ok(reply::status(StatusCode::OK)),
        Ok(false) => Ok(reply::status(StatusCode::PRECONDITION_FAILED)),
        Err(fault) => reply::fault_response(&fault, slow_down()),
    }
}

fn slow_down() -> reply::Reply {
    reply::text(StatusCode::SERVICE_UNAVAILABLE, SLOW_DOWN)
}
