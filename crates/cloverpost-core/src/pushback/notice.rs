//! What an upstream asked for in a response that another VM read.

use std::time::Duration;

use crate::id;

/// What an upstream asked of the VM that a tunnel leads through.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Notice {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Start time of its process, in milliseconds of the upstream's clock, if known.
    pub born_ms: Option<u64>,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Time for which it wants no request.
    pub rest: Option<Duration>,
}
