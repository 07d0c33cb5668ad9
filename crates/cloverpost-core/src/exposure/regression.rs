//! Comparison in which a new version is worse.

/// Comparison in which a new version is worse than the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Regression {
    /// Failed responses alone.
    Failures,
    /// Responses that are slow, failed or missing, together.
    Responses,
    /// Intervals between the events of streams.
    Pace,
}
