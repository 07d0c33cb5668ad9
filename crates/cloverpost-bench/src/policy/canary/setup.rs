//! Parameters of a rollout scenario.

use std::time::Duration;

/// Pass rate of the version that is replaced.
pub(super) const OLD_QUALITY: f64 = 0.95;

/// Pass rate of a new version that is bad from the start.
const BAD_QUALITY: f64 = 0.85;

/// Pass rate of a new version after it degraded.
const DEGRADED_QUALITY: f64 = 0.80;

const HOUR: Duration = Duration::from_hours(1);

/// Number of minutes of the third hour at which a version may degrade.
const DEGRADATION_MINUTES: u64 = 60;

/// Coprime to [`DEGRADATION_MINUTES`], so that consecutive seeds spread over the hour.
const SEED_STRIDE: u64 = 37;

/// Duration, quality and faults of one run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Setup {
    pub(super) duration: Duration,
    /// Initial pass rate of the new version.
    pub(super) quality: f64,
    /// When the new version degrades, and its pass rate from then on.
    pub(super) degradation: Option<(Duration, f64)>,
    /// When the lease holder fails and the replacement of all VMs begins.
    pub(super) interruption: Option<Duration>,
}

impl Setup {
    pub(super) const fn good() -> Self {
        Self {
            duration: HOUR.saturating_mul(3),
            quality: OLD_QUALITY,
            degradation: None,
            interruption: None,
        }
    }

    pub(super) const fn bad() -> Self {
        Self {
            quality: BAD_QUALITY,
            ..Self::good()
        }
    }

    /// The new version degrades at a minute of the third hour that depends on the seed.
    pub(super) fn turned_bad(seed: u64) -> Self {
        let minute = Duration::from_mins(seed.wrapping_mul(SEED_STRIDE) % DEGRADATION_MINUTES);
        Self {
            duration: HOUR * 5,
            degradation: Some((HOUR * 2 + minute, DEGRADED_QUALITY)),
            ..Self::good()
        }
    }

    pub(super) const fn interrupted() -> Self {
        Self {
            interruption: Some(Duration::from_mins(15)),
            ..Self::good()
        }
    }

    /// Pass rate of the new version `since_start` after the start.
    pub(super) fn quality_at(&self, since_start: Duration) -> f64 {
        match self.degradation {
            Some((at, degraded)) if since_start >= at => degraded,
            _ => self.quality,
        }
    }
}
