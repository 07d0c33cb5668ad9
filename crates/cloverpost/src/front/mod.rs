//! HTTP servers for callers and operators.
//!
//! A request of a caller passes [`server`] (connection limits), `route` (dispatch to a
//! handler), `auth` (authentication), a handler (`chat`, `service` or `models`), `execute`
//! (attempts on upstreams) and, if its response is streamed, `relay`.

mod auth;
mod bill;
mod body;
mod cascade;
mod chat;
mod context;
mod disconnect;
mod execute;
pub mod headers;
mod idempotency;
mod job;
mod models;
mod operator;
mod pick;
mod queue;
mod relay;
mod response;
mod route;
mod selection;
pub mod server;
mod service;
mod state;
mod upload;

pub use body::Body;
pub use context::{Claims, Context};
pub use headers::{RAN, REQUEST, SESSION, VERSION};
pub use operator::OperatorApi;
pub use state::State;
