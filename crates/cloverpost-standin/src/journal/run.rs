//! Runs.

use crate::journal::State;

/// A run of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Run {
    /// The `X-Request-Id` of the request.
    pub request: Option<String>,
    /// The `Idempotency-Key` of the request.
    pub key: Option<String>,
    /// What ran the request: `model@version` for an engine, the path for a plain service.
    #[serde(rename = "by")]
    pub executor: String,
    /// SHA-256 of the request body, in hexadecimal.
    #[serde(rename = "body")]
    pub body_digest: String,
    /// State of the run.
    pub state: State,
}
