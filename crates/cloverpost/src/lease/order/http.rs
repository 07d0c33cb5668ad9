//! Engines that are called over HTTP.

use std::net::SocketAddr;

use bytes::Bytes;
use cloverpost_core::{id, order};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::lease::order::{Engine, Error, Response};

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// An engine that accepts orders as JSON at `/orders`.
#[derive(Clone, Debug)]
pub struct Http {
    client: legacy::Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

/// Body of the rejection of an order with an old fencing token.
#[derive(serde::Deserialize)]
struct Stale {
    fence: id::Fence,
}

impl Http {
    /// Creates a client of the engine at `address`.
    ///
    /// Connections are not reused: an order lost on a dead connection would have to be
    /// sent again, after the remaining lease time was checked.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let client = legacy::Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build_http();
        Self { client, address }
    }

    async fn call(
        &self,
        method: http::Method,
        body: Bytes,
    ) -> Result<(http::StatusCode, Bytes), Error> {
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{}/orders", self.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|_| Error)?;
        let response = self.client.request(request).await.map_err(|_| Error)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = body.collect().await.map_err(|_| Error)?;
        Ok((status, body.to_bytes()))
    }
}

impl Engine for Http {
    async fn send(&self, order: &order::Order) -> Result<Response, Error> {
        let body = serde_json::to_vec(order).map_err(|_| Error)?;
        let (status, body) = self.call(http::Method::POST, body.into()).await?;
        if status.is_success() {
            return Ok(Response::Accepted);
        }
        if status != http::StatusCode::CONFLICT {
            return Err(Error);
        }
        let stale: Stale = serde_json::from_slice(&body).map_err(|_| Error)?;
        Ok(Response::Stale(stale.fence))
    }

    async fn read(&self) -> Result<order::Report, Error> {
        let (status, body) = self.call(http::Method::GET, Bytes::new()).await?;
        if !status.is_success() {
            return Err(Error);
        }
        serde_json::from_slice(&body).map_err(|_| Error)
    }
}
