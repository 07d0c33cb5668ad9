//! Engines that execute orders.

use std::fmt;
use std::future::Future;

use cloverpost_core::{id, order};

/// Response of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// The order was accepted.
    Accepted,
    /// The order was rejected because the engine has accepted this newer fencing token.
    Stale(id::Fence),
}

/// The error returned when a call to an engine failed. An order may have taken effect
/// nevertheless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("call to engine failed or returned an invalid response")
    }
}

impl std::error::Error for Error {}

/// An engine. Dropping a returned future must cancel the call.
pub trait Engine: Send + Sync {
    /// Sends an order.
    fn send(&self, order: &order::Order) -> impl Future<Output = Result<Response, Error>> + Send;

    /// Reads the state of the engine.
    fn read(&self) -> impl Future<Output = Result<order::Report, Error>> + Send;
}
