//! End of a VM's service.

use std::time::Duration;

use crate::time;

/// The moment by which a VM that is told to stop has answered all requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct End(time::Moment);

impl End {
    /// An end at `moment`.
    #[must_use]
    pub const fn new(moment: time::Moment) -> Self {
        Self(moment)
    }

    /// The moment of the end.
    #[must_use]
    pub const fn moment(self) -> time::Moment {
        self.0
    }

    /// Time left at `now`.
    #[must_use]
    pub const fn left(self, now: time::Moment) -> Duration {
        self.0.since(now)
    }

    /// Whether a request that takes `duration` and has a `deadline` may be begun at `now`: it is answered
    /// before the end, by its response or since its deadline has passed.
    #[must_use]
    pub fn admits(self, now: time::Moment, duration: Duration, deadline: time::Moment) -> bool {
        now < self.0 && (now + duration).min(deadline) <= self.0
    }

    /// Time from `now` after which a request that takes `duration` and has a `deadline` can no longer be
    /// begun; `None` if its deadline comes before the end.
    #[must_use]
    pub fn time_to_begin(
        self,
        now: time::Moment,
        duration: Duration,
        deadline: time::Moment,
    ) -> Option<Duration> {
        (deadline > self.0).then(|| self.left(now).saturating_sub(duration))
    }
}
