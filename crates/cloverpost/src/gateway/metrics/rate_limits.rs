//! Metrics of the rate limits that upstreams state.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of the rate limits that upstreams state.
#[derive(Clone, Debug)]
pub struct RateLimits {
    /// Attempts sent to upstreams that state a limit, by service and kind.
    pub sends: IntCounterVec,
    /// Upstreams known to state a limit.
    upstreams: IntGauge,
}

impl RateLimits {
    /// Creates the metrics in `registry`.
    pub(super) fn register(registry: &Registry) -> Self {
        let sends = Opts::new(
            "limited_sends_total",
            "sends to upstreams that state a rate limit, by kind of send",
        );
        let upstreams = IntGauge::new(
            "limited_upstreams",
            "upstreams that are known to state a rate limit",
        );
        Self {
            sends: crate::metrics::register(
                registry,
                IntCounterVec::new(sends, &["service", "kind"]),
            ),
            upstreams: crate::metrics::register(registry, upstreams),
        }
    }

    /// Sets the number of upstreams known to state a limit.
    pub fn set_upstreams(&self, count: usize) {
        self.upstreams.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}
