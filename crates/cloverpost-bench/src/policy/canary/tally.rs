//! Metrics of a rollout.

use std::time::Duration;

/// Interval between points of the curve.
const POINT_INTERVAL: Duration = Duration::from_mins(1);

/// Metrics of one run.
#[derive(Default)]
pub(super) struct Tally {
    /// Requests served by the new version while it was worse than the old one.
    pub(super) exposed: u32,
    /// When the first VM halted.
    pub(super) halted_at: Option<Duration>,
    /// When the new version first received all requests.
    pub(super) full_at: Option<Duration>,
    /// Decreases of the new version's share without a halt.
    pub(super) share_decreases: u32,
    points: Vec<(f64, f64)>,
}

impl Tally {
    /// Records the new version's share of the requests.
    pub(super) fn record_share(&mut self, now: Duration, share: f64) {
        let minute = u32::try_from(now.as_secs() / POINT_INTERVAL.as_secs()).unwrap_or(u32::MAX);
        let minute = f64::from(minute);
        if self.points.last().is_none_or(|last| last.0 < minute) {
            self.points.push((minute, share));
        }
        if share >= 1.0 {
            self.full_at.get_or_insert(now);
        }
    }

    pub(super) fn halted_minutes(&self) -> f64 {
        minutes(self.halted_at)
    }

    pub(super) fn full_minutes(&self) -> f64 {
        minutes(self.full_at)
    }

    pub(super) fn curve(&self) -> Vec<(f64, f64)> {
        self.points.clone()
    }
}

/// Minutes from the start to `at`; 0 for `None`.
fn minutes(at: Option<Duration>) -> f64 {
    at.map_or(0.0, |at| at.as_secs_f64() / 60.0)
}
