//! A budget over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time;

/// Parts in which a window is counted. The oldest part counts whole until it is
/// over, which errs towards fewer repeats by a tenth of the window.
const PARTS: u32 = 10;

/// What one VM may send again to one service.
///
/// In any window, repeats stay below `share` of the first sends in it plus `slack`.
/// Summed over all VMs that bounds the repeats at the service, if the slacks of the
/// VMs sum to that of the fleet. Unlike a bucket it lets a VM with little traffic
/// use in one second what it did not in the others.
#[derive(Clone, Debug)]
pub struct Window {
    /// Repeats for each first send.
    share: f64,
    /// Repeats on top.
    slack: f64,
    part: Duration,
    /// Oldest first.
    parts: VecDeque<Part>,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    began: time::Moment,
    firsts: u32,
    repeats: u32,
}

impl Window {
    /// A budget over windows of length `window`, without traffic yet.
    #[must_use]
    pub fn new(share: f64, slack: f64, window: Duration) -> Self {
        Self {
            share,
            slack,
            part: window / PARTS,
            parts: VecDeque::new(),
        }
    }

    /// Goes on with another slack, as VMs come and go.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Notes a first send.
    pub fn first(&mut self, now: time::Moment) {
        self.present(now).firsts += 1;
    }

    /// Takes one repeat; `false` if none is left.
    #[must_use]
    pub fn repeat(&mut self, now: time::Moment) -> bool {
        self.present(now);
        let firsts: u32 = self.parts.iter().map(|part| part.firsts).sum();
        let repeats: u32 = self.parts.iter().map(|part| part.repeats).sum();
        let is_left = f64::from(repeats + 1) <= f64::from(firsts) * self.share + self.slack;
        if is_left {
            self.present(now).repeats += 1;
        }
        is_left
    }

    /// The part that `now` falls into; those that are over are dropped.
    fn present(&mut self, now: time::Moment) -> &mut Part {
        let window = self.part * PARTS;
        while self
            .parts
            .front()
            .is_some_and(|part| now.since(part.began) >= window)
        {
            self.parts.pop_front();
        }
        let is_over = |part: &Part| now.since(part.began) >= self.part;
        if self.parts.back().is_none_or(is_over) {
            self.parts.push_back(Part {
                began: now,
                firsts: 0,
                repeats: 0,
            });
        }
        self.parts.back_mut().expect("pushed above")
    }
}
