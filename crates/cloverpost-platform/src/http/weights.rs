//! Client of the weight store.

use std::time::Duration;

use bytes::Bytes;
use cloverpost_core::id;
use hyper::{Method, Response, StatusCode, Uri, header};

use crate::fault;
use crate::http::{Options, client};
use crate::weights::{self, Grant};

/// Wait if the response has no valid `Retry-After` header.
const DEFAULT_WAIT: Duration = Duration::from_secs(1);

/// Client of the weight store.
#[derive(Clone, Debug)]
pub struct Weights(client::Client);

impl Weights {
    /// Creates a client of the weight store under `base`.
    #[must_use]
    pub fn new(base: Uri, options: Options) -> Self {
        Self(client::Client::new(base, options))
    }
}

impl weights::Weights for Weights {
    async fn reserve(
        &self,
        model: &id::Model,
        version: &id::Version,
    ) -> Result<Grant, fault::Fault> {
        let path = format!("/weights/{model}/{version}");
        let request = self.0.request(Method::POST, &path);
        let response = self.0.send(request, Bytes::new()).await?;
        match response.status() {
            StatusCode::NO_CONTENT => Ok(Grant::Granted),
            StatusCode::TOO_MANY_REQUESTS => Ok(Grant::Wait(wait(&response))),
            _ => Err(client::unexpected_status(&response)),
        }
    }
}

/// Parses `Retry-After` in seconds; the date form is not supported.
fn wait(response: &Response<Bytes>) -> Duration {
    response
        .headers()
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map_or(DEFAULT_WAIT, Duration::from_secs)
}
