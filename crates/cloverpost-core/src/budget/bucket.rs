//! The retries that a class has left.

use crate::budget::Options;
use crate::time;

/// Parts of one retry. A millisecond of a floor of one retry a second, and one
/// percent of a first attempt, are both a whole number of parts.
const PARTS: u64 = 1_000;
/// Parts in one percent of a retry.
const PARTS_A_PERCENT: u64 = PARTS / 100;

#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    parts: u64,
    /// Up to here the floor has been paid in, in whole milliseconds.
    paid_ms: u64,
}

impl Bucket {
    /// A full bucket.
    pub(super) fn full(options: Options, now: time::Moment) -> Self {
        Self {
            parts: limit(options),
            paid_ms: millis(now),
        }
    }

    /// Pays in the floor up to `now`.
    pub(super) fn advance(&mut self, options: Options, now: time::Moment) {
        let now_ms = millis(now);
        let elapsed = now_ms.saturating_sub(self.paid_ms);
        self.paid_ms += elapsed;
        self.pay_in(options, elapsed.saturating_mul(options.floor.into()));
    }

    /// Pays in one first attempt's share.
    pub(super) fn first(&mut self, options: Options) {
        let percent = u64::from(options.share.percent());
        self.pay_in(options, percent * PARTS_A_PERCENT);
    }

    /// Takes one retry out, if a whole one is left.
    pub(super) fn retry(&mut self) -> bool {
        let left = self.parts.checked_sub(PARTS);
        self.parts = left.unwrap_or(self.parts);
        left.is_some()
    }

    fn pay_in(&mut self, options: Options, parts: u64) {
        self.parts = self.parts.saturating_add(parts).min(limit(options));
    }
}

fn limit(options: Options) -> u64 {
    u64::from(options.burst) * PARTS
}

fn millis(now: time::Moment) -> u64 {
    u64::try_from(now.since_start().as_millis()).unwrap_or(u64::MAX)
}
