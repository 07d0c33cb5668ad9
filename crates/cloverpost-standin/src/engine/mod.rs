//! Stand-in for a model engine.
//!
//! It implements the chat completions API. The answer is derived from the request and the version
//! that ran: its first words are `model@version` and [`chat::digest`], by which a caller can verify
//! that the answer belongs to its request.

pub mod chat;
mod command;
mod handle;
pub mod load;
mod options;
pub mod order;
mod quality;
mod queue;
pub mod replica;
mod routes;
mod server;
mod state;

pub use cloverpost_core::order::Target;
pub use command::Command;
pub use handle::Handle;
pub use options::Options;
pub use quality::Quality;
pub use server::Server;
