//! Arrival process of requests.

use std::time::Duration;

use cloverpost_core::time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::policy::traffic::request::Request;
use crate::policy::traffic::setup::{CLASSES, Setup};

/// Maximum length of an answer, as a multiple of the class's mean.
const MAX_OUTPUT_RATIO: f64 = 3.0;

/// A seeded Poisson process. A seed gives every policy the same requests.
pub(super) struct Arrivals {
    setup: Setup,
    rng: ChaCha8Rng,
}

impl Arrivals {
    pub(super) fn new(setup: Setup, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { setup, rng }
    }

    /// Draws the time until the next request.
    pub(super) fn gap(&mut self) -> Duration {
        Duration::from_secs_f64(self.exponential() / self.setup.rate)
    }

    /// Draws the request that arrives at `now`.
    pub(super) fn next(&mut self, now: time::Moment) -> Request {
        let class = self.class();
        let mean = CLASSES[class].output_tokens;
        let output = (self.exponential().min(MAX_OUTPUT_RATIO) * mean).ceil();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // below 1,000
        let output_tokens = output.max(1.0) as u32;
        Request {
            class,
            vm: self.rng.random_range(0..self.setup.vms),
            prefix: self.prefix(),
            output_tokens,
            arrived: now,
            deadline: now + CLASSES[class].time_limit,
        }
    }

    fn class(&mut self) -> usize {
        let mut remaining: f64 = self.rng.random();
        for (index, class) in CLASSES.iter().enumerate() {
            remaining -= class.share;
            if remaining < 0.0 {
                return index;
            }
        }
        CLASSES.len() - 1
    }

    /// Draws a prefix from a skewed distribution that favours low numbers.
    fn prefix(&mut self) -> u32 {
        let uniform: f64 = self.rng.random();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // below `prefixes`
        let prefix = (uniform * uniform * f64::from(self.setup.prefixes)) as u32;
        prefix
    }

    fn exponential(&mut self) -> f64 {
        let uniform: f64 = self.rng.random();
        -(1.0 - uniform).ln()
    }
}
