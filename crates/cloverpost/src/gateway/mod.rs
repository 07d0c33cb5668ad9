//! An entry VM in front of upstreams that register themselves in a store.
//!
//! Requests take the same path for every protocol: a [`codec::Codec`] decodes caller requests and
//! encodes upstream requests, and a [`store::Store`] provides configuration, upstreams and
//! rollouts as typed rows. All decisions are made here and in `cloverpost-core`.
//!
//! - traffic: [`server`] accepts connections, [`route`] admits a request, `unary` and `stream`
//!   produce its response by `attempt`s over the connection [`pool`];
//! - control: [`control`] follows the store, queries peers while the store is unavailable, and
//!   drives rollouts; it publishes the `directory::View` that traffic reads.

mod acquire;
mod attempt;
pub mod breaker;
pub mod buffers;
mod caller_stream;
pub mod clients;
pub mod codec;
pub mod command;
pub mod connections;
pub mod control;
mod crashes;
pub mod dial;
pub mod events;
mod evidence;
pub mod faults;
mod follow;
mod footprint;
mod hedge;
mod in_flight;
mod interim;
mod job;
mod loads;
mod meter;
mod metered;
pub mod metrics;
pub mod offers;
mod operator_server;
mod overdue;
pub mod path;
pub mod pool;
mod pushback;
mod rate_limits;
mod rejection_limits;
mod reload;
mod response;
pub mod retained;
mod rollout_evidence;
mod rollouts;
pub mod route;
mod runs;
mod selection;
pub mod server;
pub mod settings;
mod shared;
mod shutdown;
mod slot;
mod startup;
mod stated_limit;
mod statements;
pub mod store;
mod stream;
mod tunnels;
mod unary;
mod upload;
pub mod vm;

pub use settings::Settings;
pub use shared::Shared;
pub use vm::Vm;
