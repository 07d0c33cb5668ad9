//! An HTTP client of the router.

mod reply;

pub use reply::Reply;

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// A client with the key of one organisation.
#[derive(Clone, Debug)]
pub struct Caller {
    key: String,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// The request failed before the response headers were received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Whether the connection could not be established.
    pub is_connect: bool,
    /// Description of the error.
    pub reason: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for Error {}

impl Caller {
    /// Creates a caller with the key of an organisation.
    #[must_use]
    pub fn new(key: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            key: key.to_owned(),
            http: legacy::Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a chat request.
    pub async fn chat(
        &self,
        vm: SocketAddr,
        model: &str,
        prompt: &str,
        stream: bool,
        session: Option<&str>,
    ) -> Result<Reply, Error> {
        let body = serde_json::json!({
            "model": model,
            "stream": stream,
            "messages": [{"role": "user", "content": prompt}],
        });
        let mut request = self.request(vm, Method::POST, "/v1/chat/completions", &body);
        if let Some(value) = session.and_then(|session| session.parse().ok()) {
            request.headers_mut().insert("cloverpost-session", value);
        }
        self.send(request).await
    }

    /// Sends a booking to a service.
    pub async fn book(
        &self,
        vm: SocketAddr,
        entry: &str,
        key: Option<&str>,
        what: &str,
    ) -> Result<Reply, Error> {
        let path = format!("/service/{entry}/bookings");
        let body = serde_json::json!({"what": what});
        let mut request = self.request(vm, Method::POST, &path, &body);
        if let Some(value) = key.and_then(|key| key.parse().ok()) {
            request.headers_mut().insert("idempotency-key", value);
        }
        self.send(request).await
    }

    fn request(
        &self,
        vm: SocketAddr,
        method: Method,
        path: &str,
        body: &serde_json::Value,
    ) -> Request<Full<Bytes>> {
        Request::builder()
            .method(method)
            .uri(format!("http://{vm}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("request should be valid")
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Reply, Error> {
        let response = self.http.request(request).await.map_err(|error| Error {
            is_connect: error.is_connect(),
            reason: error.to_string(),
        })?;
        let (head, body) = response.into_parts();
        match body.collect().await {
            Ok(body) => Ok(Reply::new(head, body.to_bytes(), true)),
            Err(_) => Ok(Reply::new(head, Bytes::new(), false)),
        }
    }
}
