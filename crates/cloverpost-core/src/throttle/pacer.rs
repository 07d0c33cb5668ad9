//! Pacing of one sender.

use std::time::Duration;

use crate::throttle::Allotment;
use crate::time;

/// Paces the sends of this VM to one upstream by the generic cell rate algorithm.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pacer {
    allotment: Allotment,
    /// When the next send conforms to the mean interval.
    next: time::Moment,
}

impl Pacer {
    /// Starts without any saved sends. The senders start one after the other, by `rank`, so that
    /// those that learn of a limit together do not send together.
    pub(super) fn start(allotment: Allotment, rank: Option<usize>, now: time::Moment) -> Self {
        let rank = u32::try_from(rank.unwrap_or_default()).unwrap_or(u32::MAX);
        let senders = u32::try_from(allotment.senders.max(1)).unwrap_or(u32::MAX);
        let phase = (f64::from(rank) + 0.5) / f64::from(senders);
        Self::start_after(allotment, scale(allotment.interval, phase.min(1.0)), now)
    }

    /// Starts as the successor of another sender, which may have sent a moment ago.
    pub(super) fn succeed(allotment: Allotment, now: time::Moment) -> Self {
        Self::start_after(allotment, allotment.interval, now)
    }

    fn start_after(allotment: Allotment, wait: Duration, now: time::Moment) -> Self {
        let saved = saturating_mul(allotment.interval, allotment.burst - 1);
        Self {
            allotment,
            next: now + saved.saturating_add(wait),
        }
    }

    /// The same pacer with `allotment`; what is left of its wait is scaled to the new interval.
    pub(super) fn adapted(self, allotment: Allotment, now: time::Moment) -> Self {
        if self.allotment == allotment {
            return self;
        }
        let ratio = allotment.interval.as_secs_f64() / self.allotment.interval.as_secs_f64();
        Self {
            allotment,
            next: now + scale(self.next.since(now), ratio),
        }
    }

    /// Time until a send conforms.
    pub(super) fn wait(&self, now: time::Moment) -> Duration {
        let saved = saturating_mul(self.allotment.interval, self.allotment.burst - 1);
        self.next.since(now + saved)
    }

    /// Whether a send has conformed for longer than the mean interval.
    pub(super) fn is_overdue(&self, now: time::Moment) -> bool {
        now.since(self.next) > self.allotment.interval
    }

    pub(super) fn record_send(&mut self, now: time::Moment) {
        self.next = self.next.max(now) + self.allotment.interval;
    }
}

fn saturating_mul(interval: Duration, count: usize) -> Duration {
    interval.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
}

fn scale(duration: Duration, factor: f64) -> Duration {
    Duration::try_from_secs_f64(duration.as_secs_f64() * factor).unwrap_or(Duration::MAX)
}
