//! Routes of an engine.

use std::sync::Arc;

use http::{Method, Response, StatusCode};

use crate::engine::chat::run;
use crate::engine::order::{FenceResponse, Order};
use crate::engine::replica;
use crate::engine::{Command, state};
use crate::host::{self, Body, Call, Controls, JsonResponse, reply};

/// Request handler of an engine.
#[derive(Debug)]
pub struct Routes {
    state: Arc<state::State>,
}

/// Response to `GET /v1/models`.
#[derive(serde::Serialize)]
struct Models {
    object: &'static str,
    data: Vec<Model>,
}

/// A loaded version.
#[derive(serde::Serialize)]
struct Model {
    id: String,
    object: &'static str,
}

impl Routes {
    pub const fn new(state: Arc<state::State>) -> Self {
        Self { state }
    }

    pub const fn state(&self) -> &Arc<state::State> {
        &self.state
    }

    /// Handles a request other than a chat completion.
    async fn handle_control(&self, call: Call) -> Response<Body> {
        let controls = &self.state.controls;
        let fault = match host::admit_control(&call, controls).await {
            Ok(fault) => fault,
            Err(response) => return response,
        };
        let json = JsonResponse {
            call: &call,
            controls,
            fault,
            run: None,
        };
        match (&call.head.method, call.head.uri.path()) {
            (&Method::GET, "/v1/models") => json.send(StatusCode::OK, &self.models()).await,
            (&Method::GET, "/load") => {
                let report = self.state.load.report();
                json.send(StatusCode::OK, &report).await
            }
            (&Method::GET, "/orders") => {
                let report = self.state.orders.report();
                json.send(StatusCode::OK, &report).await
            }
            (&Method::POST, "/orders") => self.handle_order(json).await,
            _ => reply::not_started(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn handle_order(&self, json: JsonResponse<'_>) -> Response<Body> {
        let order: Order = match serde_json::from_slice(&json.call.body) {
            Ok(order) => order,
            Err(error) => {
                return reply::not_started(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        let fence = order.fence;
        match self.state.orders.execute(order).await {
            Ok(()) => json.send(StatusCode::OK, &FenceResponse { fence }).await,
            Err(highest) => json.send(StatusCode::CONFLICT, &highest).await,
        }
    }

    fn models(&self) -> Models {
        let mut statuses = self.state.replicas.statuses();
        statuses.retain(|status| status.state == replica::State::Loaded);
        let model = |status: &replica::Status| Model {
            id: status.target.to_string(),
            object: "model",
        };
        Models {
            object: "list",
            data: statuses.iter().map(model).collect(),
        }
    }
}

impl host::Handler for Routes {
    async fn handle(&self, call: Call) -> Response<Body> {
        match (&call.head.method, call.head.uri.path()) {
            (&Method::POST, "/v1/chat/completions") => run::serve(&self.state, call).await,
            _ => self.handle_control(call).await,
        }
    }

    fn apply_command(&self, controls: &Controls, body: &[u8]) -> Result<(), serde_json::Error> {
        match serde_json::from_slice(body)? {
            Command::Common(command) => controls.apply(command),
            Command::Quality { quality } => self.state.sampler.set(quality),
        }
        Ok(())
    }
}
