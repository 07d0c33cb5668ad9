//! Random generators for traffic threads.

use std::sync::atomic::{AtomicU64, Ordering};

use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Increment between seeds; odd, so that the sequence has full period.
const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Sequence of seeds for one random generator per request; lock-free.
#[derive(Debug)]
pub struct SeedSequence(AtomicU64);

impl SeedSequence {
    /// Starts the sequence at `seed`.
    pub const fn new(seed: u64) -> Self {
        Self(AtomicU64::new(seed))
    }

    /// Creates a generator from the next seed.
    pub fn next_rng(&self) -> SmallRng {
        SmallRng::seed_from_u64(self.0.fetch_add(INCREMENT, Ordering::Relaxed))
    }
}
