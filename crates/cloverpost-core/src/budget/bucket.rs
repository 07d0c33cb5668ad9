//! Token bucket of one traffic class.

use crate::budget::Options;
use crate::time;

/// Fixed-point units per retry. A floor of one retry per second refills one unit per millisecond,
/// and 1 % of a retry is a whole number of units.
const UNITS_PER_RETRY: u64 = 1_000;
/// Units in 1 % of a retry.
const UNITS_PER_PERCENT: u64 = UNITS_PER_RETRY / 100;

#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    units: u64,
    /// Time of the last refill from the floor, in whole milliseconds.
    refilled_ms: u64,
}

impl Bucket {
    pub(super) fn full(options: Options, now: time::Moment) -> Self {
        Self {
            units: capacity(options),
            refilled_ms: millis(now),
        }
    }

    /// Refills the bucket from the floor rate up to `now`.
    pub(super) fn refill(&mut self, options: Options, now: time::Moment) {
        let now_ms = millis(now);
        let elapsed = now_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms += elapsed;
        self.deposit(options, elapsed.saturating_mul(options.floor.into()));
    }

    /// Adds the share earned by one first attempt.
    pub(super) fn earn(&mut self, options: Options) {
        let percent = u64::from(options.share.percent());
        self.deposit(options, percent * UNITS_PER_PERCENT);
    }

    /// Takes one retry and returns whether one was available.
    pub(super) fn try_take(&mut self) -> bool {
        let left = self.units.checked_sub(UNITS_PER_RETRY);
        self.units = left.unwrap_or(self.units);
        left.is_some()
    }

    fn deposit(&mut self, options: Options, units: u64) {
        self.units = self.units.saturating_add(units).min(capacity(options));
    }
}

fn capacity(options: Options) -> u64 {
    u64::from(options.burst) * UNITS_PER_RETRY
}

fn millis(now: time::Moment) -> u64 {
    u64::try_from(now.since_start().as_millis()).unwrap_or(u64::MAX)
}
