//! What a cold upstream bears beyond its rate.

/// What a cold upstream bears in one second beyond the rate that its service states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Multiple of the rate.
    pub overage: f64,
    /// Requests on top.
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
