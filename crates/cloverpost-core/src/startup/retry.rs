//! When a refused caller may retry.

use std::time::Duration;

/// Lower bound of the delay.
const MIN: Duration = Duration::from_millis(200);
/// Upper bound of the delay.
const MAX: Duration = Duration::from_secs(3);
/// Upper bound for a request without a timeout, as for other refusals.
const MAX_WITHOUT_TIMEOUT: Duration = Duration::from_millis(600);
/// Callers wait at most this part of their remaining time before they retry.
const HONOURED_DIVISOR: u32 = 3;

/// Delay after which the caller of a refused request may retry. `draw`, from 0 to 1, selects a point
/// of the possible range, so that callers that are refused together do not return together.
#[must_use]
pub fn retry_after(time_left: Option<Duration>, draw: f64) -> Duration {
    let max = time_left.map_or(MAX_WITHOUT_TIMEOUT, |left| left / HONOURED_DIVISOR);
    let max = max.clamp(MIN, MAX);
    MIN + max.saturating_sub(MIN).mul_f64(draw.clamp(0.0, 1.0))
}
