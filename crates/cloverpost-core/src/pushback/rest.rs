//! A rest that an upstream asked for.

use std::time::Duration;

use crate::time;

/// Largest random part by which this VM extends a rest, so that VMs return one after the other.
const SPREAD: f64 = 0.25;
/// Longest extension of a rest.
const MAX_SPREAD: Duration = Duration::from_secs(2);
/// Time after which the number of requests allowed since the end of a rest doubles.
const RAMP_STEP: Duration = Duration::from_millis(200);
/// Number of steps after which requests are no longer counted.
const RAMP_STEPS: u32 = 5;

/// A rest that an upstream asked for, and the requests sent to it since.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Rest {
    /// When the upstream first asked.
    pub(super) since: time::Moment,
    /// When this VM may send again.
    pub(super) until: time::Moment,
    /// Requests sent since the end.
    sent: u32,
    /// Whether its end was reported.
    pub(super) is_reported: bool,
}

impl Rest {
    /// A rest of `length` from `now` on. `draw`, from 0 to 1, selects its extension.
    pub(super) fn new(length: Duration, draw: f64, now: time::Moment) -> Self {
        let extension = length.min(MAX_SPREAD.div_f64(SPREAD)).mul_f64(SPREAD);
        Self {
            since: now,
            until: now + length.saturating_add(extension.mul_f64(draw.clamp(0.0, 1.0))),
            sent: 0,
            is_reported: false,
        }
    }

    /// This rest and `next`, which was asked for later. The later end counts.
    pub(super) fn extended(self, next: Self, now: time::Moment) -> Self {
        if self.is_over(now) {
            return next;
        }
        Self {
            until: self.until.max(next.until),
            ..self
        }
    }

    pub(super) fn is_over(&self, now: time::Moment) -> bool {
        now >= self.until
    }

    /// Whether the upstream may be sent a request as if it had never rested.
    pub(super) fn is_forgotten(&self, now: time::Moment) -> bool {
        self.is_over(now) && now.since(self.until) >= RAMP_STEP * RAMP_STEPS
    }

    /// Whether the upstream may be sent a request.
    pub(super) fn admits(&self, now: time::Moment) -> bool {
        self.is_forgotten(now) || self.is_over(now) && self.sent < self.allowed(now)
    }

    /// Requests allowed since the end.
    fn allowed(&self, now: time::Moment) -> u32 {
        let steps = now.since(self.until).as_millis() / RAMP_STEP.as_millis();
        let steps = u32::try_from(steps).unwrap_or(u32::MAX).min(RAMP_STEPS);
        1 << steps
    }

    pub(super) fn record_send(&mut self, now: time::Moment) {
        if self.is_over(now) {
            self.sent = self.sent.saturating_add(1);
        }
    }
}
