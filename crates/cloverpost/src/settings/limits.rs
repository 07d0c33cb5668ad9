//! Limits on caller requests.

use std::time::Duration;

/// Limits on one request.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum body size, in bytes.
    pub max_body: usize,
    /// Maximum size of the header block, in bytes.
    pub max_headers: usize,
    /// Timeout for receiving the headers.
    pub header_timeout: Duration,
    /// Timeout for receiving the body.
    pub body_timeout: Duration,
    /// Maximum attempts at upstreams for a request that may be retried.
    pub max_attempts: u32,
}
