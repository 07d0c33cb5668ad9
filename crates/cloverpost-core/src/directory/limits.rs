//! What a caller may send.

use std::time::Duration;

/// Bounds on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Largest header block, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a header block or a body to arrive.
    pub receive_timeout: Duration,
    /// Longest time that an unused connection stays open.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// What the usual HTTP servers allow, until a configuration is known.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            receive_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
