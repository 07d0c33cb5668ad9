//! Adaptive concurrency limit of one pool.

use std::collections::BTreeMap;

use crate::overload::Sample;
use crate::overload::upstream_state::UpstreamState;
use crate::time;

/// Settings of a [`Limiter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Initial limit per upstream, in requests of this VM in flight.
    pub start: u32,
    /// Maximum limit per upstream, in requests of this VM in flight.
    pub max: u32,
    /// Mean first-byte time that indicates queueing, as a multiple of the baseline.
    pub tolerance: f64,
    /// Number of requests per window; the limit changes once per window.
    pub window: u32,
    /// Rounding offset from 0 to 1, different on each VM.
    ///
    /// When the limit is below one request per upstream, the offset decides which
    /// upstreams are left out. With equal offsets, all VMs would leave out the same ones.
    pub rounding_offset: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            start: 4,
            max: 64,
            tolerance: 2.5,
            window: 32,
            rounding_offset: 0.0,
        }
    }
}

/// Factor applied to the limit after a window that indicates queueing.
const DECREASE: f64 = 0.85;

/// Factor applied to the limit after a window with an overload response or a timeout.
const OVERLOAD_DECREASE: f64 = 0.7;

/// Additive increase of the pool limit per second while the limit binds, in requests.
const INCREASE_PER_SECOND: f64 = 0.2;

/// Additional increase per second for each upstream, in requests.
const INCREASE_PER_UPSTREAM: f64 = 0.01;

/// Maximum duration credited to one window, in seconds.
const MAX_WINDOW_SECONDS: f64 = 10.0;

/// Factor by which the baseline rises in a window in which the limit does not bind.
const BASELINE_DRIFT: f64 = 1.01;

/// Minimum limit of a pool, in requests of this VM in flight.
const MIN_POOL_LIMIT: f64 = 1.0;

/// An additive-increase, multiplicative-decrease (AIMD) limiter on the time to the first
/// byte.
///
/// Single answers vary with the prompt length, so the mean of a window is compared with
/// the lowest such mean, the baseline. The upstreams of a pool are assumed alike and
/// share one window and one baseline: a single VM sees too few answers of one upstream
/// for separate limits to converge, and an upstream that is slow from the start would get
/// a baseline that includes queueing.
///
/// The limit rises with time rather than with the number of answers. Otherwise a VM with
/// a high limit would also raise it faster, and the limits of VMs that share a pool would
/// diverge.
///
/// The baseline rises only while the limit does not bind or is at its minimum. If it rose
/// under load, it would follow the queueing delay that it has to detect.
#[derive(Clone, Debug)]
pub struct Limiter {
    options: Options,
    upstreams: BTreeMap<u64, UpstreamState>,
    limit: f64,
    baseline: Option<f64>,
    window: Window,
    window_closed_at: time::Moment,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    samples: u32,
    answers: u32,
    first_byte_sum: f64,
    limit_reached: bool,
}

impl Limiter {
    /// Creates a limiter for a pool without upstreams.
    #[must_use]
    pub const fn new(options: Options, now: time::Moment) -> Self {
        Self {
            options,
            upstreams: BTreeMap::new(),
            limit: MIN_POOL_LIMIT,
            baseline: None,
            window: Window {
                samples: 0,
                answers: 0,
                first_byte_sum: 0.0,
                limit_reached: false,
            },
            window_closed_at: now,
        }
    }

    /// Adds the upstream with `key` and raises the limit of the pool accordingly.
    pub fn join(&mut self, key: u64) {
        if self
            .upstreams
            .insert(key, UpstreamState::default())
            .is_none()
        {
            self.set_limit(self.limit + f64::from(self.options.start));
        }
    }

    /// Removes the upstream with `key` and its part of the limit.
    pub fn leave(&mut self, key: u64) {
        let before = self.upstreams.len();
        if self.upstreams.remove(&key).is_some() {
            let share = 1.0 / f64::from(count(before));
            self.set_limit(self.limit * (1.0 - share));
        }
    }

    /// Returns the maximum requests of this VM in flight, by key of the upstream.
    pub fn limits(&self) -> impl Iterator<Item = (u64, u32)> {
        self.upstreams
            .iter()
            .map(|(key, upstream)| (*key, upstream.limit))
    }

    /// Records a finished request on `key`. Returns whether [`Self::limits`] may have
    /// changed.
    pub fn record(&mut self, key: u64, sample: Sample, now: time::Moment) -> bool {
        let Some(upstream) = self.upstreams.get_mut(&key) else {
            return false;
        };
        self.window.samples += 1;
        if let Sample::Answered {
            first_byte,
            in_flight,
        } = sample
        {
            upstream.record(first_byte);
            self.window.answers += 1;
            self.window.first_byte_sum += first_byte.as_secs_f64();
            self.window.limit_reached |= in_flight >= upstream.limit;
        }
        let full = self.window.samples >= self.options.window;
        if full {
            self.close_window(now);
        }
        full
    }

    fn close_window(&mut self, now: time::Moment) {
        let window = std::mem::take(&mut self.window);
        let elapsed = now
            .since(self.window_closed_at)
            .as_secs_f64()
            .min(MAX_WINDOW_SECONDS);
        self.window_closed_at = now;
        if window.answers < window.samples {
            self.set_limit(self.limit * OVERLOAD_DECREASE);
            return;
        }
        let mean = window.first_byte_sum / f64::from(window.answers);
        let limit_binds = window.limit_reached && self.limit > MIN_POOL_LIMIT;
        let drift = if limit_binds { 1.0 } else { BASELINE_DRIFT };
        let baseline = self
            .baseline
            .map_or(mean, |lowest| mean.min(lowest * drift));
        self.baseline = Some(baseline);
        if mean > self.options.tolerance * baseline {
            self.set_limit(self.limit * DECREASE);
        } else if window.limit_reached {
            let rate = INCREASE_PER_SECOND
                + INCREASE_PER_UPSTREAM * f64::from(count(self.upstreams.len()));
            self.set_limit(self.limit + rate * elapsed);
        } else {
            self.distribute();
        }
    }

    fn set_limit(&mut self, limit: f64) {
        let max_limit = f64::from(self.options.max) * f64::from(count(self.upstreams.len()));
        self.limit = limit.clamp(MIN_POOL_LIMIT, max_limit.max(MIN_POOL_LIMIT));
        self.distribute();
    }

    /// Distributes the limit by weight. Cumulative sums are rounded down, so that the
    /// parts add up to the rounded total.
    fn distribute(&mut self) {
        let pool = self.pool_first_byte();
        let weights: f64 = self.upstreams.values().map(|one| one.weight(pool)).sum();
        let mut cumulative = self.options.rounding_offset;
        for upstream in self.upstreams.values_mut() {
            let previous = cumulative;
            cumulative += self.limit * upstream.weight(pool) / weights;
            upstream.limit = floor(cumulative) - floor(previous);
        }
    }

    /// Returns the mean first-byte time of the upstreams with samples.
    fn pool_first_byte(&self) -> f64 {
        let known = || {
            self.upstreams
                .values()
                .filter_map(UpstreamState::first_byte)
        };
        known().sum::<f64>() / f64::from(count(known().count()).max(1))
    }
}

fn count(upstreams: usize) -> u32 {
    u32::try_from(upstreams).unwrap_or(u32::MAX)
}

/// Rounds a limit down.
fn floor(limit: f64) -> u32 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // limits are positive
    let floor = limit.floor() as u32;
    floor
}
