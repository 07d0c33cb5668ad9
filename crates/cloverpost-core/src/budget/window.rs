//! Sliding window counter of first sends.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time;

/// Buckets per window. A bucket expires as a whole once its start leaves the window, so the
/// count may miss the sends of up to a tenth of the window.
const BUCKETS: u32 = 10;

/// Counts first sends within a sliding window; may undercount by up to one bucket.
#[derive(Clone, Debug, Default)]
pub(super) struct WindowCounter {
    /// Start time and send count of each bucket, oldest first.
    buckets: VecDeque<(time::Moment, u32)>,
}

impl WindowCounter {
    /// Records one send.
    pub(super) fn add(&mut self, window: Duration, now: time::Moment) {
        let width = window / BUCKETS;
        let is_over = |(began, _): &(time::Moment, u32)| now.since(*began) >= width;
        if self.buckets.back().is_none_or(is_over) {
            self.buckets.push_back((now, 0));
        }
        if let Some((_, sends)) = self.buckets.back_mut() {
            *sends += 1;
        }
    }

    /// Number of sends within the last `window`.
    pub(super) fn count(&mut self, window: Duration, now: time::Moment) -> u32 {
        let is_old = |(began, _): &(time::Moment, u32)| now.since(*began) >= window;
        while self.buckets.front().is_some_and(is_old) {
            self.buckets.pop_front();
        }
        self.buckets.iter().map(|(_, sends)| sends).sum()
    }
}
