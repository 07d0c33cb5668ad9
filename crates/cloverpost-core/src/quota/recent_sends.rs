//! Times of the sends of one VM to one upstream.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time;

/// Times of the sends of one VM to one upstream within a sliding window.
#[derive(Clone, Debug, Default)]
pub struct RecentSends(VecDeque<time::Moment>);

impl RecentSends {
    /// Number of sends in the `window` before `now`.
    #[must_use]
    pub fn count(&self, window: Duration, now: time::Moment) -> usize {
        let latest = self.0.iter().rev();
        latest.take_while(|sent| now.since(**sent) < window).count()
    }

    /// Records a send, and forgets those that have left the `window`.
    pub fn record(&mut self, window: Duration, now: time::Moment) {
        while self
            .0
            .front()
            .is_some_and(|sent| now.since(*sent) >= window)
        {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Time until fewer than `limit` sends are in the `window`; zero if that is so already.
    #[must_use]
    pub fn time_until_below(&self, limit: usize, window: Duration, now: time::Moment) -> Duration {
        let Some(excess) = (self.0.len() + 1).checked_sub(limit) else {
            return Duration::ZERO;
        };
        let last = excess.checked_sub(1).and_then(|last| self.0.get(last));
        last.map_or(Duration::ZERO, |sent| (*sent + window).since(now))
    }
}
