//! First sends of the last window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time;

/// Parts in which a window is counted. A part is dropped whole once its first moment is over, so
/// up to a tenth of the window's sends is left out.
const PARTS: u32 = 10;

/// First sends within a sliding window, or somewhat fewer.
#[derive(Clone, Debug, Default)]
pub(super) struct Recent {
    /// When a part began, and its sends; oldest first.
    parts: VecDeque<(time::Moment, u32)>,
}

impl Recent {
    /// Counts one send.
    pub(super) fn add(&mut self, window: Duration, now: time::Moment) {
        let part = window / PARTS;
        let is_over = |(began, _): &(time::Moment, u32)| now.since(*began) >= part;
        if self.parts.back().is_none_or(is_over) {
            self.parts.push_back((now, 0));
        }
        if let Some((_, sends)) = self.parts.back_mut() {
            *sends += 1;
        }
    }

    /// Sends of the last window.
    pub(super) fn count(&mut self, window: Duration, now: time::Moment) -> u32 {
        let is_old = |(began, _): &(time::Moment, u32)| now.since(*began) >= window;
        while self.parts.front().is_some_and(is_old) {
            self.parts.pop_front();
        }
        self.parts.iter().map(|(_, sends)| sends).sum()
    }
}
