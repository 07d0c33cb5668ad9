//! A request that arrives before the first configuration.

use std::time::Duration;

use crate::time;

/// Age of the process until which a request without a timeout waits, and any request of a VM that stops.
///
/// After an outage of all VMs, callers retry as soon as one listens again, and a refusal would use up
/// their last retry. A process that has no configuration by this age cannot reach the store.
pub const GRACE: time::Moment = time::Moment::from_millis(500);
/// Longest timeout that is taken as it is.
const MAX_TIMEOUT: Duration = Duration::from_hours(1);
/// Replaces timeouts above [`MAX_TIMEOUT`], and bounds the wait of all others: without a configuration
/// the timeout of the route is not known, and no request may be held longer than that.
const TIMEOUT_CAP: Duration = Duration::from_secs(30);
/// Part of its timeout that a request may wait. The rest is needed to serve it.
const WAIT_DIVISOR: u32 = 2;
/// Time that a request keeps at least. A request of 2 s waits 0.75 s, so that two VMs in a row can
/// refuse it within its time, and the second one still leaves it time to be served.
const KEPT_TIME: Duration = Duration::from_millis(1_250);
/// Estimated memory of a connection with a request.
const CONNECTION_BYTES: u64 = 32 * 1024;
/// Largest part of a body that is buffered before the request is admitted, and the estimate for a
/// body of unknown length.
const MAX_BODY_BYTES: u64 = 64 * 1024;

/// A request that arrives before the first configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Time after which the caller stops waiting.
    pub timeout: Option<Duration>,
    /// Whether its method cannot change state, so that it may be repeated.
    pub is_repeatable: bool,
    /// Declared length of the body, in bytes; `None` if it is not declared.
    pub body_bytes: Option<u64>,
}

impl Request {
    /// The time that the request has, if it states one.
    #[must_use]
    pub fn time(&self) -> Option<Duration> {
        let cap = |timeout| {
            if timeout > MAX_TIMEOUT {
                TIMEOUT_CAP
            } else {
                timeout
            }
        };
        self.timeout.map(cap)
    }

    /// When the request, which arrives at `now`, is refused if there is no configuration; `None` if it
    /// cannot wait.
    #[must_use]
    pub fn wait_until(&self, now: time::Moment) -> Option<time::Moment> {
        let until = match self.time() {
            None => GRACE,
            Some(time) => {
                let max = time.min(TIMEOUT_CAP) / WAIT_DIVISOR;
                let in_grace = GRACE.since(now);
                now + time.saturating_sub(KEPT_TIME).max(in_grace).min(max)
            }
        };
        (until > now).then_some(until)
    }

    /// When the caller of the request, which arrives at `now`, stops waiting. Without a timeout it is
    /// taken to have the least time.
    pub(super) fn deadline(&self, now: time::Moment) -> time::Moment {
        self.time().map_or(now, |time| now + time)
    }

    /// Estimated memory of the request while it waits, in bytes.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        let body = self.body_bytes.unwrap_or(MAX_BODY_BYTES);
        CONNECTION_BYTES + body.min(MAX_BODY_BYTES)
    }
}
