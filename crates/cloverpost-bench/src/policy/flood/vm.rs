//! A VM with its shares of two rate limits.

use std::time::Duration;

use cloverpost_core::{evidence, limit, time};

/// Burst allowance of the token bucket, as time at the current rate.
const BURST: Duration = Duration::from_secs(1);

/// Weight of the last second in the moving average of demand.
const DEMAND_WEIGHT: f64 = 0.3;

/// A VM's share of the rate limit of one organisation.
pub(super) struct LocalLimit {
    pub(super) split: limit::Split,
    bucket: limit::Bucket,
    /// Fixed rate under policies that do not redistribute shares.
    fixed_rate: Option<u64>,
    /// Requests received since the last call of [`Self::balance`].
    received: u32,
    /// Moving average of the requests received per second.
    demand: f64,
}

/// A VM that enforces the rate limits.
pub(super) struct Vm {
    pub(super) member: evidence::Source,
    pub(super) alive: bool,
    /// Shares of the large and the small organisation.
    pub(super) limits: [LocalLimit; 2],
}

impl LocalLimit {
    pub(super) fn new(split: limit::Split, fixed_rate: Option<u64>) -> Self {
        let limit = Self {
            split,
            bucket: limit::Bucket::new(BURST),
            fixed_rate,
            received: 0,
            demand: 0.0,
        };
        limit.bucket.set_rate(fixed_rate.unwrap_or(0));
        limit
    }

    /// Counts a request; returns whether it is within the limit.
    pub(super) fn admit(&mut self, now: time::Moment) -> bool {
        self.received += 1;
        self.bucket.try_take(now).is_ok()
    }

    /// Updates the demand and transfers surplus share to peers; called once per second.
    pub(super) fn balance(&mut self, now: time::Moment) {
        self.demand += DEMAND_WEIGHT * (f64::from(self.received) - self.demand);
        self.received = 0;
        // In thousandths of a request.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // non-negative
        let demand = (self.demand * 1_000.0) as u64;
        self.split.balance(demand, now);
        self.update_rate(now);
    }

    /// Applies the current share to the token bucket.
    pub(super) fn update_rate(&self, now: time::Moment) {
        let rate = self.fixed_rate.unwrap_or_else(|| self.split.share(now));
        self.bucket.set_rate(rate);
    }
}
