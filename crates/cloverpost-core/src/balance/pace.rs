//! Speed of one upstream as measured by this VM.

use std::time::Duration;

use crate::balance::Ratios;
use crate::time;

/// Time after which a sample counts half. Longer than the 0.6 s for which an upstream may slow down, since
/// the VMs of a zone get only a few samples of it in that time.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Samples of an upstream's speed, with exponential decay.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    ratios: Ratios,
    updated: time::Moment,
}

impl Default for Pace {
    fn default() -> Self {
        Self::none()
    }
}

impl Pace {
    /// No samples.
    pub(super) const fn none() -> Self {
        Self {
            ratios: Ratios::NONE,
            updated: time::Moment::from_millis(0),
        }
    }

    /// Adds a sample.
    pub(super) fn record(&mut self, sample: Ratios, now: time::Moment) {
        self.ratios = self.at(now).plus(sample);
        self.updated = self.updated.max(now);
    }

    /// Decayed samples.
    pub(super) fn at(&self, now: time::Moment) -> Ratios {
        let age = now.since(self.updated).as_secs_f32();
        self.ratios
            .weighted((-age / HALF_LIFE.as_secs_f32()).exp2())
    }
}
