//! Exponential backoff between connection attempts.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

/// Upper bound of the delay after the first failure.
const INITIAL_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay; it bounds the time until a recovered peer is reached.
const MAX_DELAY: Duration = Duration::from_secs(2);
/// Maximum exponent of the delay, to avoid overflow.
const MAX_DOUBLINGS: u32 = 8;

/// Exponential backoff with jitter.
///
/// The jitter keeps VMs that lost a peer at the same time from reconnecting at
/// the same time.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
    until: Option<Instant>,
}

impl Backoff {
    /// Whether the delay has not elapsed yet.
    pub fn is_active(&self) -> bool {
        self.until.is_some_and(|until| Instant::now() < until)
    }

    /// Starts the delay that follows a failure.
    pub fn record_failure(&mut self, rng: &mut impl Rng) {
        let max_delay = INITIAL_DELAY
            .saturating_mul(1 << self.failures.min(MAX_DOUBLINGS))
            .min(MAX_DELAY);
        let delay = max_delay.mul_f64(rng.random_range(0.1..1.0));
        self.failures = self.failures.saturating_add(1);
        self.until = Some(Instant::now() + delay);
    }

    /// Clears the failure count and the delay after a success.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
