//! Stages of a rollout.

use std::time::Duration;

use crate::directory;
use crate::exposure::{Allowance, Tally};

/// Fraction of the duration before which the new version never takes all traffic. It also
/// caps the time in which sessions are pinned.
const FULL_TRAFFIC_EARLIEST: f64 = 0.5;
/// Fraction of the allowed share reserved for the final stage, in which the new version
/// takes all traffic. This stage detects versions that fail only under load, while total
/// exposure stays within the allowance.
const FULL_TRAFFIC_FRACTION: f64 = 0.5;
/// Fraction of the duration from which sessions may move to the new version. It leaves a margin to
/// the half in which they stay, for VMs whose clocks differ.
const SESSION_MOVE_EARLIEST: f64 = 0.52;
/// Share of all requests once sessions may move, as a multiple of the share of new sessions before.
const SECOND_SHARE_RATIO: f64 = 2.4;
/// Remaining fraction of the duration at which the rollout may be marked complete, relative
/// to the allowed share. The remaining time, such as half a second of sixteen, is needed to write
/// the row.
const COMPLETION_REMAINDER: f64 = 0.18;
/// Remaining fraction of the duration from which few answers suffice for completion,
/// relative to the allowed share.
const DEADLINE_REMAINDER: f64 = 0.12;
/// Fraction of all requests held in reserve for retries, for clock skew between VMs, and
/// for the time before a VM learns of the order.
const EXPOSURE_RESERVE: f64 = 0.025;
/// Usual delay before a VM learns of an order: the polling interval of its feed plus a
/// message from a peer.
const ORDER_PROPAGATION_MS: u64 = 250;
/// Minimum share of the first stage, below which there would be too little evidence.
const MIN_SHARE: f64 = 0.02;

/// State of a rollout at a point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stage {
    /// Fraction of the new sessions routed to the new version until sessions may move, from 0 to
    /// 1.
    pub first_share: f64,
    /// Fraction of all sessions routed to the new version from then on, from 0 to 1.
    pub second_share: f64,
    /// Whether sessions are being pinned to the previous version.
    pub is_pinning: bool,
    /// Whether the deadline is so near that the rollout is completed even with few
    /// answers.
    pub is_near_deadline: bool,
    allowance: Allowance,
    progress: f64,
}

impl Stage {
    /// Returns whether the rollout may be marked complete.
    #[must_use]
    pub fn may_complete(&self) -> bool {
        self.progress >= 1.0 - self.allowance.share * COMPLETION_REMAINDER
    }

    /// Returns the fraction of the sessions, from 0 to 1, that a VM with the request
    /// counts `tally` routes to the new version.
    #[must_use]
    pub fn share(&self, tally: &Tally) -> f64 {
        if self.is_pinning {
            0.0
        } else if self.is_full_traffic(tally) {
            1.0
        } else if self.moves_sessions() {
            self.second_share
        } else {
            self.first_share
        }
    }

    /// Whether sessions that run on the previous version may move to the new one. A session never
    /// moves back, since the share does not decrease.
    #[must_use]
    pub fn moves_sessions(&self) -> bool {
        self.progress >= SESSION_MOVE_EARLIEST
    }

    /// Returns whether a VM with the request counts `tally` routes all traffic to the new
    /// version: once all requests expected until the deadline fit into the remaining
    /// allowance.
    ///
    /// A fixed time would not account for streams still open on the previous version,
    /// which resume on the new one when the old upstreams stop, nor for bursts. At 150 requests
    /// per second that last 0.6 s, such streams were 80 of 390 allowed requests.
    ///
    /// Returns false for a VM that has sent nothing, because it cannot estimate the
    /// remaining requests.
    #[must_use]
    pub fn is_full_traffic(&self, tally: &Tally) -> bool {
        if self.progress < FULL_TRAFFIC_EARLIEST || tally.all == 0 {
            return false;
        }
        let all = f64::from(tally.all);
        let expected = all / self.progress.min(1.0);
        let remaining = expected - all + f64::from(tally.open_old);
        let allowed = expected * (self.allowance.share - EXPOSURE_RESERVE) + self.allowance.slack;
        f64::from(tally.new) + remaining <= allowed
    }
}

/// Returns the stage of `rollout` at `now_ms` on the store's clock, given the `allowance`
/// of the new version before completion and the maximum time `session_gap` between requests
/// of a session.
///
/// During the first `session_gap` the previous version takes all traffic and its sessions
/// are pinned, so that no session switches versions, whichever VM receives its next request.
/// The new version then takes a constant share of new sessions, a larger one of all sessions in the
/// second half, and all traffic just before the end.
#[must_use]
pub fn stage(
    rollout: &directory::Rollout,
    now_ms: u64,
    allowance: Allowance,
    session_gap: Duration,
) -> Stage {
    let duration_ms = rollout
        .duration_ms
        .saturating_sub(ORDER_PROPAGATION_MS)
        .max(1);
    #[allow(clippy::cast_precision_loss)] // durations are far below 2^53 ms
    let progress_since = |from_ms| now_ms.saturating_sub(from_ms) as f64 / duration_ms as f64;
    let progress = progress_since(rollout.ordered_ms);
    #[allow(clippy::cast_precision_loss)] // as above
    let pinning_window =
        (session_gap.as_secs_f64() * 1000.0 / duration_ms as f64).min(FULL_TRAFFIC_EARLIEST);
    let allowed = allowance.share;
    let full_traffic_fraction = (allowed * FULL_TRAFFIC_FRACTION).min(FULL_TRAFFIC_EARLIEST);
    let first = SESSION_MOVE_EARLIEST - pinning_window;
    let second = 1.0 - full_traffic_fraction - SESSION_MOVE_EARLIEST;
    let first_share = (allowed - full_traffic_fraction - EXPOSURE_RESERVE)
        / (first + SECOND_SHARE_RATIO * second).max(MIN_SHARE);
    let first_share = first_share.clamp(MIN_SHARE, allowed.max(MIN_SHARE));
    Stage {
        first_share,
        second_share: first_share * SECOND_SHARE_RATIO,
        is_pinning: progress_since(rollout.started_ms) < pinning_window,
        is_near_deadline: progress >= 1.0 - allowed * DEADLINE_REMAINDER,
        allowance,
        progress,
    }
}
