//! Generated requests and the answers of versions to them.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::policy::versions::classes::CLASSES;
use crate::policy::versions::version::Version;

/// Number of organisations.
pub(super) const ORGANISATIONS: usize = 10;

/// Requests per second.
const REQUEST_RATE: f64 = 20.0;

/// Probability that the outcome of an answer depends on the request alone rather than on a
/// draw of its own. Correlates the failures of different versions.
const SHARED_OUTCOME: f64 = 0.6;

/// Failure rates of the easiest and the most difficult organisation, as multiples of the mean.
const DIFFICULTY_RANGE: (f64, f64) = (0.4, 1.6);

/// A generated request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) organisation: usize,
    /// Uniform draw that decides whether an answer passes, if the outcome is shared.
    draw: f64,
    size: f64,
}

impl Request {
    /// Cost and latency of the answer as a multiple of the mean.
    pub(super) const fn size(&self) -> f64 {
        self.size
    }
}

/// The answer of a version.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answer {
    pub(super) passes: bool,
    pub(super) cost: f64,
    pub(super) latency: Duration,
}

/// Seeded generator of requests.
pub(super) struct Workload {
    rng: ChaCha8Rng,
    mixed_difficulty: bool,
}

impl Workload {
    pub(super) fn new(seed: u64, mixed_difficulty: bool) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            rng,
            mixed_difficulty,
        }
    }

    /// Draws the time until the next request.
    pub(super) fn gap(&mut self) -> Duration {
        let uniform: f64 = self.rng.random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() / REQUEST_RATE)
    }

    pub(super) fn next(&mut self) -> Request {
        Request {
            class: self.class(),
            organisation: self.rng.random_range(0..ORGANISATIONS),
            draw: self.rng.random(),
            size: self.rng.random_range(0.5..1.5),
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

    /// Draws the answer of `version`.
    pub(super) fn answer(
        &self,
        request: &Request,
        version: &Version,
        rng: &mut ChaCha8Rng,
    ) -> Answer {
        let failure_rate = (1.0 - version.quality) * self.difficulty(request.organisation);
        let draw = if rng.random_bool(SHARED_OUTCOME) {
            request.draw
        } else {
            rng.random()
        };
        let uniform: f64 = rng.random();
        let variation = 0.6 - 0.4 * (1.0 - uniform).ln();
        Answer {
            passes: draw >= failure_rate,
            cost: version.cost * request.size,
            latency: version.latency.mul_f64(variation * request.size),
        }
    }

    fn difficulty(&self, organisation: usize) -> f64 {
        if !self.mixed_difficulty {
            return 1.0;
        }
        let rank = u32::try_from(organisation).map_or(0.0, f64::from);
        let last = u32::try_from(ORGANISATIONS - 1).map_or(1.0, f64::from);
        DIFFICULTY_RANGE.0 + (DIFFICULTY_RANGE.1 - DIFFICULTY_RANGE.0) * rank / last
    }
}
