//! HTTP server shared by the engine and service stand-ins.
//!
//! It serves HTTP/1.1 and h2c on one port, holds the fault script and the journal of runs, and can
//! simulate a crash and a restart on the same address.

mod accept;
mod admission;
mod body;
mod call;
mod chunked_response;
mod connection;
mod connection_handle;
mod controls;
mod handler;
mod json_response;
mod phase;
pub mod reply;
mod sender;
mod server;
mod trigger;

pub use admission::{admit, admit_control};
pub use body::Body;
pub use call::Call;
pub use chunked_response::ChunkedResponse;
pub use connection_handle::ConnectionHandle;
pub use controls::Controls;
pub use handler::Handler;
pub use json_response::{JsonResponse, other_request_id, set_other_request_id};
pub use phase::Phase;
pub use sender::BodySender;
pub use server::Server;
