//! Whether an upstream states a limit.

use std::time::Duration;

use crate::throttle::Rate;
use crate::time;

/// Time after which the rate is raised again once a limit has ended.
const RAMP_STEP: Duration = Duration::from_millis(500);
/// Number of steps after which nothing is limited any more.
const RAMP_STEPS: u32 = 3;

/// Whether an upstream states a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Status {
    /// It states this rate.
    Limited(Rate),
    /// It stated this rate until `since`.
    Ended { rate: Rate, since: time::Moment },
}

impl Status {
    /// The rate that it states.
    pub(super) fn stated(self) -> Option<Rate> {
        match self {
            Self::Limited(rate) => Some(rate),
            Self::Ended { .. } => None,
        }
    }

    /// The rate in force: the stated one, and after its end twice as much with each step.
    pub(super) fn in_force(self, now: time::Moment) -> Option<Rate> {
        let (rate, since) = match self {
            Self::Limited(rate) => return Some(rate),
            Self::Ended { rate, since } => (rate, since),
        };
        let steps = now.since(since).as_millis() / RAMP_STEP.as_millis();
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        let raised = || Rate::try_from(rate.per_second() * f64::from(2_u32.pow(steps + 1))).ok();
        (steps < RAMP_STEPS).then(raised).flatten()
    }
}
