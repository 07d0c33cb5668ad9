//! A client for the operator API.
//!
//! It is used by `cloverpost catalogue` and by tests; the server is in
//! `front::operator`.

mod client;
mod error;

pub use client::{Catalogue, Client};
pub use error::Error;
