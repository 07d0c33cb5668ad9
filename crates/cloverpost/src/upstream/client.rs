//! HTTP client for upstreams.

use std::time::Duration;

use bytes::Bytes;
use cloverpost_core::dispatch::Failure;
use cloverpost_core::time;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::clock;
use crate::snapshot;
use crate::upstream::Call;

/// Header that carries the request id; upstreams echo it.
pub const REQUEST_ID: http::HeaderName = http::HeaderName::from_static("x-request-id");
/// Header that carries the remaining time for the request, in milliseconds.
pub const TIMEOUT: http::HeaderName = http::HeaderName::from_static("x-request-timeout-ms");
/// Header by which an upstream states that it did not start the request.
pub const NOT_STARTED: http::HeaderName = http::HeaderName::from_static("x-not-started");

/// Timeout for connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Whether `status` ends a request. An interim status does not, and others are none of HTTP's.
#[must_use]
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Sends calls to upstreams over pooled connections.
#[derive(Clone, Debug)]
pub struct Client {
    client: legacy::Client<HttpConnector, Full<Bytes>>,
    clock: clock::Clock,
}

impl Client {
    /// Creates a client with an empty connection pool.
    #[must_use]
    pub fn new(clock: clock::Clock) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { client, clock }
    }

    /// Sends `call` to `upstream` and waits for the response headers.
    ///
    /// `hyper_util` resends a request only if a pooled connection closed before the
    /// first byte was written, so its retries cannot run a call twice.
    pub async fn send(
        &self,
        upstream: &snapshot::Upstream,
        call: &Call,
        deadline: time::Moment,
    ) -> Result<http::Response<Incoming>, Failure> {
        let remaining = deadline.since(self.clock.now());
        let request = build_request(upstream, call, remaining).ok_or(Failure::NotSent)?;
        let response = tokio::time::timeout(remaining, self.client.request(request)).await;
        match response {
            Err(_elapsed) => Err(Failure::TimedOut),
            Ok(Err(error)) if error.is_connect() => Err(Failure::NotSent),
            Ok(Err(_)) => Err(Failure::ConnectionLost),
            Ok(Ok(response)) => Ok(response),
        }
    }

    /// Reads a status document of an upstream, such as its load; `None` on any failure.
    pub async fn get(
        &self,
        address: std::net::SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Option<Bytes> {
        let uri = format!("http://{address}{path}").parse().ok()?;
        let read = async {
            let response = self.client.get(uri).await.ok()?;
            let is_success = response.status().is_success();
            let body = http_body_util::BodyExt::collect(response.into_body()).await;
            body.ok()
                .filter(|_| is_success)
                .map(http_body_util::Collected::to_bytes)
        };
        tokio::time::timeout(timeout, read).await.ok()?
    }
}

/// Builds the HTTP request of `call`; `None` if its URI or request id is invalid.
fn build_request(
    upstream: &snapshot::Upstream,
    call: &Call,
    remaining: Duration,
) -> Option<http::Request<Full<Bytes>>> {
    let uri = http::Uri::builder()
        .scheme("http")
        .authority(upstream.address.to_string())
        .path_and_query(call.path.clone())
        .build()
        .ok()?;
    let mut request = http::Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = call.headers.clone();
    let id = http::HeaderValue::try_from(call.request.to_string()).ok()?;
    request.headers_mut().insert(REQUEST_ID, id);
    let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    request.headers_mut().insert(TIMEOUT, millis.into());
    Some(request)
}
