//! Metrics of the requests that arrive before the first configuration.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of the requests that arrive before the first configuration.
#[derive(Clone, Debug)]
pub struct Startup {
    /// Requests that wait for the first configuration.
    pub waiting: IntGauge,
    /// Requests that arrived before it, by result.
    pub requests: IntCounterVec,
}

impl Startup {
    /// Creates the metrics in `registry`.
    pub(super) fn register(registry: &Registry) -> Self {
        let waiting = IntGauge::new(
            "startup_waiting",
            "requests that wait for the first configuration",
        );
        let requests = IntCounterVec::new(
            Opts::new(
                "startup_requests_total",
                "requests that arrived before the first configuration",
            ),
            &["result"],
        );
        Self {
            waiting: crate::metrics::register(registry, waiting),
            requests: crate::metrics::register(registry, requests),
        }
    }
}
