//! Wire format of the messages that VMs exchange.
//!
//! A [`Frame`] consists of a version byte, the body length and the body, which is one [`Message`]
//! encoded with `bincode`. The version is not negotiated, which rules out downgrade attacks. The
//! length is checked before the body is buffered, and the same limit applies to decoding, so a
//! forged length inside the body cannot cause a larger allocation.
//!
//! To add a message, derive the `serde` traits for its payload in `cloverpost-core` and append a
//! variant to [`Message`]. The index of a variant is its discriminant on the wire.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod error;
mod frame;
pub mod hello;
mod message;

pub use error::Error;
pub use frame::{Frame, HEADER_LEN, MAX_BODY_LEN, VERSION};
pub use message::Message;
