//! The control thread: actors and tasks that own the control state.
//!
//! The thread has its own current-thread runtime, so that bursts of traffic do not
//! delay heartbeats or catalogue changes. The request path reads the results from a
//! [`crate::snapshot`].

mod actors;
mod capacity;
mod concurrency;
mod dispatch;
mod load;
mod membership;
mod publish;
mod quarantine;
mod router;
pub mod spread;
mod thread;
mod upstreams;

pub use actors::{Dependencies, Handles};
pub use router::Router;
pub use thread::{Error, Thread};
