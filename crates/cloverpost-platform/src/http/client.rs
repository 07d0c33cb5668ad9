//! HTTP client shared by the service clients.

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, Uri, header};
use hyper_util::client::legacy;
use hyper_util::rt;
use serde::de;
use tokio::time;

use crate::fault;
use crate::http::Options;

/// Header with the client's name, for the platform's logs.
pub const CLIENT_HEADER: &str = "x-client";

/// Maximum size of a response body in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// An HTTP client for one base URL.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
    base: Uri,
    options: Options,
}

impl Client {
    /// Creates a client for the services under `base`.
    pub fn new(base: Uri, options: Options) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        // The connect timeout is shorter than the call timeout, so that a failure to connect is
        // reported as without effect.
        connector.set_connect_timeout(Some(options.timeout / 2));
        let inner = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .build(connector);
        Self {
            inner,
            base,
            options,
        }
    }

    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Returns a builder of a request for `path` under the base URL.
    pub fn request(&self, method: Method, path: &str) -> hyper::http::request::Builder {
        let scheme = self.base.scheme_str().unwrap_or("http");
        let authority = self.base.authority().map_or("", |name| name.as_str());
        let prefix = self.base.path().trim_end_matches('/');
        let request = Request::builder()
            .method(method)
            .uri(format!("{scheme}://{authority}{prefix}{path}"));
        match &self.options.client {
            Some(name) => request.header(CLIENT_HEADER, name),
            None => request,
        }
    }

    /// Sends a request without retrying and reads the full response.
    pub async fn send(
        &self,
        request: hyper::http::request::Builder,
        body: Bytes,
    ) -> Result<Response<Bytes>, fault::Fault> {
        let request = request
            .body(Full::new(body))
            .map_err(|error| fault::Fault::without_effect(error.to_string()))?;
        time::timeout(self.options.timeout, self.exchange(request))
            .await
            .unwrap_or_else(|_| Err(fault::Fault::with_unknown_effect("timeout")))
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, fault::Fault> {
        let response = self
            .inner
            .request(request)
            .await
            .map_err(|error| connection_fault(&error))?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(|error| fault::Fault::with_unknown_effect(error.to_string()))?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }
}

/// Converts a transport error. Only a failure to connect is certain to have had no effect.
fn connection_fault(error: &legacy::Error) -> fault::Fault {
    let reason = std::error::Error::source(error)
        .map_or_else(|| error.to_string(), |source| format!("{error}: {source}"));
    if error.is_connect() {
        fault::Fault::without_effect(reason)
    } else {
        fault::Fault::with_unknown_effect(reason)
    }
}

/// Returns the fault for a response with an unexpected status.
pub fn unexpected_status(response: &Response<Bytes>) -> fault::Fault {
    let status = response.status();
    let reason = format!("unexpected response status {status}");
    if status.is_server_error() || status.is_success() || status == StatusCode::REQUEST_TIMEOUT {
        fault::Fault::with_unknown_effect(reason)
    } else {
        fault::Fault::without_effect(reason)
    }
}

/// Parses the JSON body of a 200 response to a call without side effects.
pub fn parse_json<T: de::DeserializeOwned>(response: &Response<Bytes>) -> Result<T, fault::Fault> {
    if response.status() != StatusCode::OK {
        return Err(unexpected_status(response));
    }
    serde_json::from_slice(response.body())
        .map_err(|error| fault::Fault::without_effect(error.to_string()))
}

/// Encodes a message as JSON.
pub fn encode(message: &impl serde::Serialize) -> Result<Bytes, fault::Fault> {
    serde_json::to_vec(message)
        .map(Bytes::from)
        .map_err(|error| fault::Fault::without_effect(error.to_string()))
}

/// Marks the fault of a read as without effect, whatever its cause.
pub fn without_effect(fault: fault::Fault) -> fault::Fault {
    fault::Fault::without_effect(fault.reason)
}

/// Content type header of JSON bodies.
pub const JSON_CONTENT_TYPE: (header::HeaderName, &str) =
    (header::CONTENT_TYPE, "application/json");
