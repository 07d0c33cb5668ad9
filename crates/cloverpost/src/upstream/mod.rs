//! Calls to upstreams.
//!
//! A [`Client`] sends one attempt and classifies failures by whether the request may
//! have run; a [`Slot`] counts it as in flight while held. Retries are decided in
//! [`cloverpost_core::dispatch`].

mod call;
mod client;
pub mod events;
mod slot;

pub use call::Call;
pub use client::{Client, NOT_STARTED, REQUEST_ID, TIMEOUT, is_final};
pub use slot::Slot;
