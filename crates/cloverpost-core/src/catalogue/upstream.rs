//! Properties shared by the upstreams of a pool.

use crate::catalogue::{Fencing, Spare};
use crate::id;

/// Properties of a pool's upstreams.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name of the pool, as in the VM list.
    pub name: id::Pool,
    /// Whether the engines check fencing tokens.
    #[serde(default)]
    pub fencing: Fencing,
    /// HTTP statuses that prove that an upstream did not start a request.
    #[serde(default)]
    pub not_started: Vec<u16>,
    /// Settings for putting spare replicas to sleep; if absent, all stay awake.
    pub spare: Option<Spare>,
    /// Maximum number of requests in flight on one upstream.
    #[serde(default = "Upstream::default_concurrency")]
    pub concurrency: u32,
}

impl Upstream {
    const fn default_concurrency() -> u32 {
        64
    }
}
