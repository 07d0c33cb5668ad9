//! Requests with a streaming response.
//!
//! The smallest model of the route is tried first. Its response head reports the model's
//! confidence, so a response with low confidence can be dropped before anything is sent to
//! the caller, and the request escalated to the largest model. Once the stream has started,
//! an interrupted run is resumed on another upstream after the last complete event, if the
//! route is idempotent.

mod escalate;
mod relay;
mod silence;
mod start;

pub use relay::{Relay, StreamAborted};
pub use silence::Silence;
pub use start::{StreamStart, start};
