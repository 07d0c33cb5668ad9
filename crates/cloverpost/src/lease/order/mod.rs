//! Sends orders to engines under a lease.
//!
//! An order is sent only if the lease lasts longer than the order's timeout, and the
//! state is read back until it matches; see [`cloverpost_core::order`] for the reasons.

mod deadline;
mod engine;
mod http;
pub mod reconcile;

pub use engine::{Engine, Error, Response};
pub use http::Http;
