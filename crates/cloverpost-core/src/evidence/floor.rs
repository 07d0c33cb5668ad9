//! Latency of a version that is not loaded.

/// Number of latencies kept, at 4 bytes each.
const WINDOW: usize = 32;
/// Minimum number of latencies for an estimate.
const MIN_SAMPLES: usize = 4;
/// Part of the latencies below the estimate, as a divisor.
const QUANTILE_DIVISOR: usize = 10;
/// Relative rise of the estimate per sample at most, so that a burst hardly raises it.
const MAX_RISE: f32 = 0.001;
/// Multiple of the estimate above which a latency is above the floor.
const RATIO: f32 = 1.5;

/// Low quantile of the latencies of the old version, in seconds.
///
/// The median of an overloaded version is several times that of an idle one, the low quantile is
/// not. A new version with few requests is idle, so it is to be compared with the latter.
#[derive(Clone, Debug, Default)]
pub struct Floor {
    recent: Vec<f32>,
    oldest: usize,
    estimate: Option<f32>,
}

impl Floor {
    /// Adds a latency of the old version in seconds.
    pub fn record(&mut self, latency: f32) {
        if self.recent.len() < WINDOW {
            self.recent.push(latency);
        } else {
            self.recent[self.oldest] = latency;
            self.oldest = (self.oldest + 1) % WINDOW;
        }
        if self.recent.len() < MIN_SAMPLES {
            return;
        }
        let mut sorted = self.recent.clone();
        sorted.sort_unstable_by(f32::total_cmp);
        let quantile = sorted[sorted.len() / QUANTILE_DIVISOR];
        let highest = self.estimate.map(|estimate| estimate * (1.0 + MAX_RISE));
        self.estimate = Some(highest.map_or(quantile, |highest| quantile.min(highest)));
    }

    /// Returns whether `latency` in seconds is above the floor; `None` before enough latencies are
    /// known.
    #[must_use]
    pub fn is_exceeded_by(&self, latency: f32) -> Option<bool> {
        self.estimate.map(|estimate| latency > estimate * RATIO)
    }
}
