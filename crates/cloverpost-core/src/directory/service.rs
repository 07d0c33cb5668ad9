//! Services behind the router.

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
    /// Tokens that the memory of one engine holds; 0 for a plain service.
    pub memory_tokens: u64,
}
