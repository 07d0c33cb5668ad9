//! Calls to the upstreams of a pool.

use bytes::Bytes;
use cloverpost_core::id;

/// A call that can be retried on several upstreams.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the caller's request; upstreams echo it.
    pub request: id::Request,
    /// HTTP method.
    pub method: http::Method,
    /// Path and query.
    pub path: http::uri::PathAndQuery,
    /// Headers, without hop-by-hop headers and the caller's API key.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}
