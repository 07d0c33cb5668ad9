//! HTTP API for operators and their tools.
//!
//! `/metrics`, `/healthz` and `/readyz` need no key, since monitoring and load balancers have
//! none. All other paths need the key of an operator.

mod auth;
mod catalogue;
mod error;

use bytes::Bytes;
use cloverpost_platform::Platform;
use http::{HeaderValue, Method, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::control::spread;
use crate::front::{Body, State, response};
use crate::revisions;

use error::Error;

/// Handler of operators' requests.
#[derive(Debug)]
pub struct OperatorApi<P: Platform> {
    state: State,
    revisions: revisions::Store<P::Table, P::Objects>,
    spread: spread::Handle,
}

impl<P: Platform> Clone for OperatorApi<P> {
    fn clone(&self) -> Self {
        Self {
            state: self.state.clone(),
            revisions: self.revisions.clone(),
            spread: self.spread.clone(),
        }
    }
}

impl<P: Platform> OperatorApi<P> {
    /// Creates the handler for the revisions stored on `platform`.
    #[must_use]
    pub fn new(state: State, platform: &P, spread: spread::Handle) -> Self {
        let revisions = revisions::Store::new(platform.table().clone(), platform.objects().clone());
        Self {
            state,
            revisions,
            spread,
        }
    }

    /// Handles a request of an operator.
    pub async fn handle(self, incoming: http::Request<Incoming>) -> Response<Body> {
        match incoming.uri().path() {
            "/metrics" => metrics(&self.state),
            "/healthz" => response::json(StatusCode::OK, &serde_json::json!({"status": "ok"})),
            "/readyz" => ready(&self.state),
            _ => self
                .handle_authenticated(incoming)
                .await
                .unwrap_or_else(Error::response),
        }
    }

    async fn handle_authenticated(
        &self,
        incoming: http::Request<Incoming>,
    ) -> Result<Response<Body>, Error> {
        let operator = auth::operator(incoming.headers(), &self.state.settings.operators)?;
        let path = incoming.uri().path().to_owned();
        let method = incoming.method().clone();
        match path.as_str() {
            "/catalogue" if method == Method::GET => self.read_catalogue().await,
            "/catalogue" if method == Method::PUT => self.edit_catalogue(operator, incoming).await,
            "/catalogue" => Err(Error::WrongMethod),
            "/catalogue/revisions" | "/audit" => self.list_revisions().await,
            path => match path.strip_prefix("/catalogue/revisions/") {
                Some(number) => self.read_revision(number).await,
                None => Err(Error::UnknownPath),
            },
        }
    }
}

fn metrics(state: &State) -> Response<Body> {
    let mut response = Response::new(Body::from(Bytes::from(state.metrics.text())));
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

fn ready(state: &State) -> Response<Body> {
    let snapshot = state.snapshot.load();
    let body = serde_json::json!({
        "ready": state.is_ready(),
        "revision": snapshot.view.revision.get(),
        "confirmed": state.is_confirmed(),
        "leaving": state.is_draining(),
        "can_bill": !state.billing.is_refusing(),
    });
    let status = if state.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    response::json(status, &body)
}
