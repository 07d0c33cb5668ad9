//! An entry VM in front of upstreams that register themselves in a store.
//!
//! The path of a request is one whatever the two ends speak: a
//! [`codec::Codec`] reads what a caller asks for and writes what an upstream
//! gets, a [`store::Store`] brings configuration, upstreams and roll-outs as
//! typed rows. All decisions in between are made here and in
//! `cloverpost-core`.
//!
//! - traffic: [`server`] takes connections, [`route`] admits a request, `plain`
//!   and `stream` see it through to its answer by way of `attempt`s over the
//!   [`pool`] of connections;
//! - control: [`control`] follows the store, asks peers while it is away, and
//!   drives roll-outs; it publishes a `directory::View` that traffic reads.

mod answer;
mod attempt;
pub mod breaker;
pub mod codec;
pub mod command;
pub mod control;
pub mod events;
mod evidence;
mod follow;
mod in_flight;
mod job;
mod loads;
pub mod metrics;
mod pick;
mod place;
mod plain;
pub mod pool;
mod ready;
mod reload;
mod rollouts;
pub mod route;
pub mod server;
pub mod settings;
mod shared;
mod socket;
pub mod store;
mod stream;
pub mod vm;
mod weigh;

pub use settings::Settings;
pub use shared::Shared;
pub use vm::Vm;
