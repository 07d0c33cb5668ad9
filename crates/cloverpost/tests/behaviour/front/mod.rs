//! Tests of the HTTP servers over loopback sockets.

mod bills;
mod call;
pub mod caller;
mod cluster;
mod input;
mod limits;
mod matrix;
mod overload;
mod random;
mod raw;
mod ready;
mod session;
mod stop;
