//! Request handlers.

use std::future::Future;

use crate::host::{Body, Call, Controls};
use crate::script::Command;

/// Handles the requests of a stand-in, except for `/health`, `/runs` and `/faults`.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(&self, call: Call) -> impl Future<Output = http::Response<Body>> + Send;

    /// Applies the command in the body of a `POST /faults`.
    fn apply_command(&self, controls: &Controls, body: &[u8]) -> Result<(), serde_json::Error> {
        let command: Command = serde_json::from_slice(body)?;
        controls.apply(command);
        Ok(())
    }
}
