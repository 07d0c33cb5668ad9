//! Random loss of calls.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::memory::faults::delivery;

/// Drops a random share of the calls, deterministically for a seed.
#[derive(Clone, Debug)]
pub struct Loss {
    rng: ChaCha8Rng,
    share: f64,
}

impl Loss {
    /// Drops `share` of the calls, from 0 to 1.
    pub fn new(seed: u64, share: f64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            share: share.clamp(0.0, 1.0),
        }
    }

    /// Returns whether the next read is lost.
    pub fn read(&mut self) -> bool {
        self.rng.random_bool(self.share)
    }

    /// Returns the delivery of the next write. Half of the lost writes take effect.
    pub fn write(&mut self) -> delivery::Delivery {
        if !self.rng.random_bool(self.share) {
            return delivery::Delivery::Delivered;
        }
        if self.rng.random() {
            delivery::Delivery::ResponseLost
        } else {
            delivery::Delivery::RequestLost
        }
    }
}
