//! Stages of a roll-out.

use std::time::Duration;

use crate::directory;

/// Part of the time at whose end sessions may move, however long they last.
const HALF: f64 = 0.5;
/// Part of the time after which the new version gets half of the sessions. They may
/// move from the half of the time on; the rest is for clocks that differ.
const RISE: f64 = 0.55;
/// Least part of the time in which the new version has its first share: answers
/// enough to judge it by.
const FIRST: f64 = 0.18;
/// Part of the time for which the new version has half of the sessions. What fails
/// only under load shows here, before everything depends on it.
const RISING: f64 = 0.07;
/// Part of the time between giving the new version everything and calling the
/// roll-out complete, for streams that still run on old upstreams.
const DRAIN: f64 = 0.13;
/// Part of the time after which a roll-out is completed on few answers.
const LAST_CALL: f64 = 0.93;

/// Where a roll-out stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stage {
    /// Share of the sessions that go to the new version, from 0 to 1.
    pub share: f64,
    /// Whether sessions that would go to the new version are noted, as they have to
    /// stay on the old one.
    pub is_watching: bool,
    /// Whether a session must stay on the version that it began with.
    pub is_pinned: bool,
    /// Whether it is complete now or never, however few answers there are.
    pub is_last_call: bool,
    /// Share of the sessions that go to the new version while they are pinned.
    pub first_share: f64,
    part: f64,
    complete: f64,
}

impl Stage {
    /// Whether the roll-out may be called complete by a VM that leaves `waits` of
    /// the time to others.
    #[must_use]
    pub fn may_complete(&self, waits: f64) -> bool {
        self.part >= self.complete + waits
    }
}

/// Where `rollout` stands at `now_ms` of the store's clock, if the new version may
/// get `allowed` of the requests before it is trusted and requests of a session
/// follow each other within `gap`.
///
/// For as long as a session may last without a request nothing moves, and sessions
/// are noted: one that had a request on the old version before must not have the
/// next on the new one, through whichever VM it comes.
#[must_use]
pub fn stage(rollout: &directory::Rollout, now_ms: u64, allowed: f64, gap: Duration) -> Stage {
    let duration_ms = rollout.duration_ms.max(1);
    let elapsed = now_ms.saturating_sub(rollout.started_ms);
    #[allow(clippy::cast_precision_loss)] // milliseconds of a roll-out are few
    let (elapsed, duration) = (elapsed as f64, duration_ms as f64);
    let part = elapsed / duration;
    let watch = (gap.as_secs_f64() * 1000.0 / duration).min(HALF);
    let rise = RISE.max(watch + FIRST);
    let all = rise + RISING;
    let share = if part < watch {
        0.0
    } else if part < rise {
        allowed
    } else if part < all {
        0.5
    } else {
        1.0
    };
    Stage {
        share,
        is_watching: part < watch,
        is_pinned: part < rise,
        is_last_call: part >= LAST_CALL,
        first_share: allowed,
        part,
        complete: all + DRAIN,
    }
}
