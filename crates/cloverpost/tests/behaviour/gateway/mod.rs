//! The gateway's parts that need no sockets.

mod breaker;
mod events;
mod settings;
