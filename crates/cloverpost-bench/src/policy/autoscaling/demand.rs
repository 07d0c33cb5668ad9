//! Synthetic demand over a day.

use std::f64::consts;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of 10 s steps per day.
pub(super) const STEPS: u32 = 8_640;

/// Mean demand, in requests per second.
const MEAN_DEMAND: f64 = 80.0;

/// Amplitude of the daily cycle, in requests per second.
const DAILY_AMPLITUDE: f64 = 60.0;

/// Steps during which a burst rises, then steps during which it stays at its peak.
const BURST_STEPS: (u32, u32) = (30, 90);

/// Demand that a burst adds at its peak, in requests per second.
const BURST_DEMAND: f64 = 40.0;

/// Bursts per day.
const BURST_COUNT: usize = 8;

/// Maximum relative noise of the demand.
const RELATIVE_NOISE: f64 = 0.1;

/// Demand of one day, determined by a seed.
pub(super) struct Demand {
    rng: ChaCha8Rng,
    bursts: Vec<u32>,
}

impl Demand {
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let bursts = (0..BURST_COUNT)
            .map(|_| rng.random_range(0..STEPS))
            .collect();
        Self { rng, bursts }
    }

    /// Demand in `step`, in requests per second.
    pub(super) fn at(&mut self, step: u32) -> f64 {
        let day = f64::from(step) / f64::from(STEPS) * consts::TAU;
        let bursts: f64 = self.bursts.iter().map(|start| burst(step, *start)).sum();
        let noise = 1.0 + self.rng.random_range(-RELATIVE_NOISE..RELATIVE_NOISE);
        (MEAN_DEMAND - DAILY_AMPLITUDE * day.cos() + bursts) * noise
    }
}

/// Demand in `step` that a burst starting at `start` adds.
fn burst(step: u32, start: u32) -> f64 {
    let (rise, peak) = BURST_STEPS;
    match step.checked_sub(start) {
        Some(elapsed) if elapsed < rise => BURST_DEMAND * f64::from(elapsed) / f64::from(rise),
        Some(elapsed) if elapsed < rise + peak => BURST_DEMAND,
        _ => 0.0,
    }
}
