//! Stand-ins for the services around the router: model engines, plain HTTP services and the
//! platform.
//!
//! They implement the protocols of the real services and inject faults on request. They are meant
//! for tests and benchmarks, not for production.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

pub mod engine;
pub mod host;
pub mod journal;
pub mod platform;
pub mod script;
pub mod service;
