//! Behaviour of the library, module by module.

mod audit;
mod billing;
mod claim;
mod control;
mod fake;
mod front;
mod gateway;
mod lease;
mod logs;
mod metrics;
mod peer;
mod plan;
mod revisions;
mod settings;
mod snapshot;
mod upstream;
mod vm;
