//! The rate-limited store of model weights.

use std::future::Future;
use std::time::Duration;

use cloverpost_core::id;

use crate::fault;

/// Response to a load request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The load may start immediately.
    Granted,
    /// The rate limit is reached. Retry after this duration.
    Wait(Duration),
}

/// The store from which engines load weights.
pub trait Weights: Clone + Send + Sync + 'static {
    /// Requests permission to load a model version.
    fn reserve(
        &self,
        model: &id::Model,
        version: &id::Version,
    ) -> impl Future<Output = Result<Grant, fault::Fault>> + Send;
}
