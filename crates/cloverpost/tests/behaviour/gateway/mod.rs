//! Gateway tests without sockets.

mod breaker;
mod buffers;
mod events;
mod settings;
