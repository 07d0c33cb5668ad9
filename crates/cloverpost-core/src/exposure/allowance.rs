//! Limits on the traffic of a version whose rollout is not complete.

use crate::directory;

/// Maximum traffic of a new version between the order and the deadline of its rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Fraction of the requests to the service, from 0 to 1.
    pub share: f64,
    /// Additional requests, on each VM.
    pub slack: f64,
}

impl Allowance {
    /// Returns the allowance in `rollout` of a process started at `since_ms` on the
    /// store's clock. A process started after the order gets no slack, because its
    /// predecessor on the same VM may have used it.
    #[must_use]
    pub const fn for_process(self, since_ms: u64, rollout: &directory::Rollout) -> Self {
        if since_ms <= rollout.ordered_ms {
            return self;
        }
        Self { slack: 0.0, ..self }
    }
}
