//! Response times and overload reported by requests.

use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::overload;

use crate::overload::Queue;

/// An event at an upstream, as one request observed it.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Queue of the upstream's pool.
    pub queue: Arc<Queue>,
    /// Key of the upstream.
    pub key: u64,
    /// What the request observed.
    pub event: Event,
}

/// Kind and value of an [`Observation`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// First byte of a response, or a rejection because of overload.
    Sample(overload::Sample),
    /// A complete response, with the time since its slot was acquired.
    Completed(Duration),
}
