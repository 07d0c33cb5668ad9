//! What operators allow of a version that is not trusted yet.

use crate::directory;

/// What a new version may get between the order and its deadline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Share of the service's requests, from 0 to 1.
    pub share: f64,
    /// Requests on top, on each VM.
    pub slack: f64,
}

impl Allowance {
    /// What a process that began at `since_ms` of the store's clock may send in `rollout`: the
    /// process before one that began after the order may have used the slack already.
    #[must_use]
    pub const fn of_process(self, since_ms: u64, rollout: &directory::Rollout) -> Self {
        if since_ms <= rollout.ordered_ms {
            return self;
        }
        Self { slack: 0.0, ..self }
    }
}
