//! Stages of a roll-out.

use crate::directory;

/// Part of the allowed share that the new version gets in the first half. The
/// rest is kept for requests that are sent again and for sessions that stay.
const FIRST_PART: f64 = 0.7;
/// Part of the time after which the share begins to rise; sessions may move then.
const RISE_FROM: f64 = 0.55;
/// Part of the time after which the new version gets everything.
const ALL_FROM: f64 = 0.62;
/// Part of the time after which the roll-out may be called complete. Streams that
/// run on old upstreams need the time between to end by themselves.
const COMPLETE_FROM: f64 = 0.8;

/// Where a roll-out stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stage {
    /// Share of the sessions that go to the new version, from 0 to 1.
    pub share: f64,
    /// Whether a session must stay on the version that it began with.
    pub is_pinned: bool,
    /// Whether the roll-out may be called complete.
    pub may_complete: bool,
}

/// Where `rollout` stands at `now_ms` of the store's clock, if the new version
/// may get `allowed` of the requests while it is not yet trusted.
#[must_use]
pub fn stage(rollout: &directory::Rollout, now_ms: u64, allowed: f64) -> Stage {
    let elapsed = now_ms.saturating_sub(rollout.started_ms);
    #[allow(clippy::cast_precision_loss)] // milliseconds of a roll-out are few
    let part = elapsed as f64 / rollout.duration_ms.max(1) as f64;
    let first = allowed * FIRST_PART;
    let share = if part < RISE_FROM {
        first
    } else if part < ALL_FROM {
        0.5
    } else {
        1.0
    };
    Stage {
        share,
        is_pinned: part < RISE_FROM,
        may_complete: part >= COMPLETE_FROM,
    }
}
