//! The gateway's parts that need no sockets.

mod events;
mod gate;
mod settings;
