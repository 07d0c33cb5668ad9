//! Services behind the router.

use std::time::Duration;

use crate::id;

/// A model that a service's upstreams can run.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Model {
    /// Its name.
    pub name: id::Model,
    /// Price of a thousand generated tokens; read ones cost a quarter.
    pub cost: f64,
}

/// A group of upstreams that answer the same requests.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// Its name.
    pub name: id::Pool,
    /// Connections that one upstream accepts from all VMs together.
    pub max_connections: u32,
    /// Models of a service of engines; empty for a plain service.
    pub models: Vec<Model>,
    /// Time for which an upstream is cold after its start; 0 if none ever is.
    pub cold_time: Duration,
    /// Requests a second that a cold upstream bears, from all VMs together.
    pub cold_rate: f64,
    /// Tokens that the memory of one engine holds; 0 for a plain service.
    pub memory_tokens: u64,
}
