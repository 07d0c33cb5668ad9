//! Tolerance of cold upstreams above their stated rate.

/// Requests per second that a cold upstream tolerates, relative to its service's stated rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Multiplier of the stated rate.
    pub overage: f64,
    /// Additional requests per second.
    pub slack: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            overage: 1.0,
            slack: 0.0,
        }
    }
}
