//! Reconciliation of an engine with its desired state.

use std::time::Duration;

use crate::catalogue;
use crate::id;
use crate::lease;
use crate::order::{Goal, Options, Order, Report};
use crate::time;

/// Next action for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send this order immediately, then read the state back.
    Send(Order),
    /// Read the state again after this delay.
    Wait(Duration),
    /// All goals are reached.
    Reached,
    /// The remaining lease time is too short; renew the lease first.
    LeaseTooShort,
    /// The engine has accepted this newer fencing token, so the lease is lost.
    Superseded(id::Fence),
}

/// Returns the next action after the state of an engine was read.
///
/// Call this immediately before sending, because the lease time keeps running.
#[must_use]
pub fn reconcile(
    goals: &[Goal],
    report: &Report,
    fencing: catalogue::Fencing,
    lease: &lease::Lease,
    options: Options,
    now: time::Moment,
) -> Step {
    let (Some(fence), Some(acquired_at)) =
        (lease.fence_for(options.timeout, now), lease.acquired_at())
    else {
        return Step::LeaseTooShort;
    };
    if report.fence > fence {
        return Step::Superseded(report.fence);
    }
    if goals.iter().all(|goal| report.reached(goal)) {
        return Step::Reached;
    }
    let remaining_settling_time = remaining_settling_time(fencing, acquired_at, options, now);
    if !remaining_settling_time.is_zero() {
        return Step::Wait(remaining_settling_time);
    }
    let needed = goals.iter().find(|goal| report.needs(goal));
    needed.map_or(Step::Wait(options.retry_delay), |goal| {
        Step::Send(Order {
            fence,
            target: goal.clone(),
        })
    })
}

/// Returns how long an order of the previous holder may still take effect.
///
/// The lease of that holder had expired when this one was acquired, but an order sent
/// before may still be in flight. An engine that checks fencing tokens rejects it once it
/// has seen a newer one; other engines would apply it after the first order of this
/// holder.
fn remaining_settling_time(
    fencing: catalogue::Fencing,
    acquired_at: time::Moment,
    options: Options,
    now: time::Moment,
) -> Duration {
    match fencing {
        catalogue::Fencing::Checked => Duration::ZERO,
        catalogue::Fencing::Ignored => options.timeout.saturating_sub(now.since(acquired_at)),
    }
}
