//! Age of an order at its arrival.

use std::time::Duration;

/// Age of an order that arrives as the store recovers, when reconnecting and whole reads delay it.
const RECOVERY_DELAY: Duration = Duration::from_millis(300);
/// Time after a recovery of the store in which orders arrive late.
const RECOVERY_WINDOW: Duration = Duration::from_millis(2200);

/// Returns the assumed age of an order that arrives now, given the time since this VM `observed` a
/// recovery of the store and the time since the recovery that a peer `reported`.
///
/// A VM that takes the order from a peer has no failed call of its own. Without the report it would
/// complete the rollout after its deadline.
#[must_use]
pub fn order_age(observed: Option<Duration>, reported: Option<Duration>) -> Duration {
    let recoveries = observed.into_iter().chain(reported);
    match recoveries.min() {
        Some(ago) if ago < RECOVERY_WINDOW => RECOVERY_DELAY,
        _ => Duration::ZERO,
    }
}
