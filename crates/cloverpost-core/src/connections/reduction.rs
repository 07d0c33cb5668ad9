//! Reduction of a limit after a reset.

use std::time::Duration;

use crate::time;

/// Time after which the limit rises by one.
const RECOVERY_STEP: Duration = Duration::from_millis(250);

/// Time after a reset in which no connection is opened. A VM without another connection may always have
/// one, and would otherwise open it again at once: in a trial, immediate retries raised the resets of a
/// day from 612 to 2,276.
const PAUSE: Duration = Duration::from_millis(100);

/// Reduction of a limit after a reset. It recovers by one connection after another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reduction {
    /// Limit at the time of the reset.
    limit: usize,
    /// Limit at which it ends if the VM has no bound.
    end: usize,
    /// When the reset was seen.
    since: time::Moment,
}

impl Reduction {
    /// A reduction after a reset with `open` connections.
    pub(super) fn new(open: usize, now: time::Moment) -> Self {
        Self {
            limit: (open / 2).max(1),
            end: open.max(1),
            since: now,
        }
    }

    /// This reduction after `next`, which follows it.
    pub(super) fn followed_by(self, next: Self) -> Self {
        Self {
            limit: next.limit.min(self.limit(next.since)),
            end: self.end.max(next.end),
            since: next.since,
        }
    }

    /// Whether a connection that was opened at `opened` was opened under the reduced limit. The resets
    /// of those that were opened before tell nothing new.
    pub(super) fn covers(&self, opened: time::Moment) -> bool {
        opened > self.since
    }

    /// Whether the reset was just now.
    pub(super) fn is_paused(&self, now: time::Moment) -> bool {
        now.since(self.since) < PAUSE
    }

    /// The limit now.
    pub(super) fn limit(&self, now: time::Moment) -> usize {
        let steps = now.since(self.since).as_millis() / RECOVERY_STEP.as_millis();
        let steps = usize::try_from(steps).unwrap_or(usize::MAX);
        self.limit.saturating_add(steps)
    }

    /// Limit at which the reduction ends if the VM has no bound.
    pub(super) const fn end(&self) -> usize {
        self.end
    }
}
