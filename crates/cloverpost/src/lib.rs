//! The model-aware router as a library.
//!
//! [`vm`] runs a VM of the router with the given [`settings`]. Decisions are made in
//! `cloverpost-core`; this crate adds networking, timers and access to the platform.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

pub mod audit;
pub mod billing;
pub mod claim;
pub mod clock;
pub mod control;
pub mod front;
pub mod gateway;
pub mod lease;
pub mod logs;
pub mod metrics;
pub mod operate;
pub mod overload;
pub mod peer;
pub mod plan;
pub mod quarantine;
pub mod revisions;
pub mod roster;
pub mod settings;
pub mod snapshot;
mod socket;
pub mod upstream;
pub mod vm;
