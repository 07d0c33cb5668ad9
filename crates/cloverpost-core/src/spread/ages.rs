//! Ages of members' confirmations, encoded in four bits each.

use std::time::Duration;

use crate::spread::lags;
use crate::time;

/// The member never confirmed, or its confirmation has expired.
const UNKNOWN: u8 = 15;

/// For each member of a roster, the time since it last confirmed the sender's
/// revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Ages(Vec<u8>);

impl Ages {
    /// Encodes the ages at `now` of confirmations given at `moments`, in steps of
    /// 1/14 of `window`. Rounds up, so that an age is never understated.
    #[must_use]
    pub fn of(moments: &[Option<time::Moment>], now: time::Moment, window: Duration) -> Self {
        let age = |moment: &Option<time::Moment>| {
            moment.map_or(UNKNOWN, |moment| encode(now.since(moment), window))
        };
        let ages: Vec<u8> = moments.iter().map(age).collect();
        Self(lags::pack(&ages))
    }

    /// Upper bound of the age of the confirmation of the member at `index`, if known.
    #[must_use]
    pub fn get(&self, index: usize, window: Duration) -> Option<Duration> {
        let steps = lags::nibble(&self.0, index)?;
        (steps != UNKNOWN).then(|| step_duration(window) * u32::from(steps))
    }
}

fn step_duration(window: Duration) -> Duration {
    window / u32::from(UNKNOWN - 1)
}

/// Encodes `age` in steps, rounded up.
fn encode(age: Duration, window: Duration) -> u8 {
    let steps = age
        .as_nanos()
        .div_ceil(step_duration(window).as_nanos().max(1));
    u8::try_from(steps).unwrap_or(UNKNOWN).min(UNKNOWN)
}
