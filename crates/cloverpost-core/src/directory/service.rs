//! Services behind the router.

use std::time::Duration;

use crate::id;

/// A model that a service's upstreams can run.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Model {
    /// Its name.
    pub name: id::Model,
    /// Price of a thousand generated tokens; input tokens cost a quarter of that.
    pub cost: f64,
}

/// A group of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// Its name.
    pub name: id::Pool,
    /// Maximum number of connections to one upstream, over all VMs.
    pub max_connections: u32,
    /// Models of an inference service; empty for other services.
    pub models: Vec<Model>,
    /// Warm-up time of an upstream after its start; 0 if it needs none.
    pub cold_time: Duration,
    /// Requests per second that a cold upstream can handle, over all VMs.
    pub cold_rate: f64,
    /// Token capacity of one upstream's memory; 0 if the service has no models.
    pub memory_tokens: u64,
}
