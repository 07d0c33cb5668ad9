//! Requirements of a request class.

use std::time::Duration;

use crate::catalogue;

/// Quality target, time limit and preference of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Goal {
    /// Minimum fraction of answers that must pass a rating.
    pub quality: f64,
    /// Maximum time to the end of an answer.
    pub time_limit: Duration,
    /// Whether latency takes precedence over cost; answers then never wait for a verdict.
    pub latency_first: bool,
}

impl From<&catalogue::Class> for Goal {
    fn from(class: &catalogue::Class) -> Self {
        Self {
            quality: class.quality_target.share(),
            time_limit: class.time_limit(),
            latency_first: class.latency_first,
        }
    }
}
