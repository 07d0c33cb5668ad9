//! Stages of a roll-out.

use std::time::Duration;

use crate::directory;

/// Part of the time at whose end sessions may move, however long they last.
const HALF: f64 = 0.5;
/// Part of the allowed share that is kept for the last stage, in which the new
/// version gets everything. A version that fails only under load looks good before;
/// here it is seen, and if it is not, it still has had no more than allowed. With six
/// tenths it had 17 in 100 where 15 are allowed: answers that are asked for again of a
/// larger model count twice.
const LAST_STAGE: f64 = 0.5;
/// The same, from the moment on at which the roll-out may be called complete. The
/// row has to be written in what remains: half a second of sixteen.
const COMPLETE: f64 = 0.18;
/// The same, from the moment on at which few answers are enough.
const LAST_CALL: f64 = 0.12;
/// Part of all requests that is kept for those that are sent again, for VMs whose
/// clocks differ, and for the time that the order stood before.
const SPARE: f64 = 0.02;
/// Time that the order has stood, at most, when the first VM takes it up. It has
/// been seen to take 50 to 200 ms.
const ORDER_LAG_MS: u64 = 250;
/// Least share of the first stage; with less nothing would be learnt.
const LEAST: f64 = 0.02;

/// Where a roll-out stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stage {
    /// Share of the sessions that go to the new version, from 0 to 1.
    pub share: f64,
    /// Share of the sessions that go to the new version in its first stage.
    pub first_share: f64,
    /// Whether sessions that would go to the new version are noted, as they have to
    /// stay on the old one.
    pub is_watching: bool,
    /// Whether a session must stay on the version that it began with.
    pub is_pinned: bool,
    /// Whether it is complete now or never, however few answers there are.
    pub is_last_call: bool,
    part: f64,
    complete: f64,
}

impl Stage {
    /// Whether the new version gets all requests.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.share >= 1.0
    }

    /// Whether the roll-out may be called complete by a VM that leaves `waits` of
    /// the time to others.
    #[must_use]
    pub fn may_complete(&self, waits: f64) -> bool {
        self.part >= self.complete + waits
    }
}

/// Where `rollout` stands at `now_ms` of the store's clock, if the new version may
/// get `allowed` of all requests before it is complete and requests of a session
/// follow each other within `gap`.
///
/// For as long as a session may last without a request nothing moves, and sessions
/// are noted: one that had a request on the old version before must not have the
/// next on the new one, through whichever VM it comes. Then the new version gets a
/// constant share, and everything just before the end.
#[must_use]
pub fn stage(rollout: &directory::Rollout, now_ms: u64, allowed: f64, gap: Duration) -> Stage {
    let elapsed = now_ms.saturating_sub(rollout.started_ms);
    #[allow(clippy::cast_precision_loss)] // milliseconds of a roll-out are few
    let (elapsed, duration) = (
        elapsed as f64,
        rollout.duration_ms.saturating_sub(ORDER_LAG_MS).max(1) as f64,
    );
    let part = elapsed / duration;
    let watch = (gap.as_secs_f64() * 1000.0 / duration).min(HALF);
    let all = (1.0 - allowed * LAST_STAGE).max(HALF);
    let first = (allowed - (1.0 - all) - SPARE) / (all - watch).max(LEAST);
    let first_share = first.clamp(LEAST, allowed.max(LEAST));
    let share = if part < watch {
        0.0
    } else if part < all {
        first_share
    } else {
        1.0
    };
    Stage {
        share,
        first_share,
        is_watching: part < watch,
        is_pinned: part < all,
        is_last_call: part >= 1.0 - allowed * LAST_CALL,
        part,
        complete: 1.0 - allowed * COMPLETE,
    }
}
