//! Metrics of callers that do not read their responses.

use prometheus::{IntCounterVec, Opts, Registry};

/// Metrics of callers' connections.
#[derive(Clone, Debug)]
pub struct Callers {
    /// Callers that were disconnected since they did not read, by reason.
    pub disconnects: IntCounterVec,
}

impl Callers {
    /// Creates the metrics in `registry`.
    pub(super) fn register(registry: &Registry) -> Self {
        let disconnects = Opts::new(
            "slow_callers_total",
            "callers disconnected since they did not read their response or were unreachable, by reason",
        );
        let disconnects = IntCounterVec::new(disconnects, &["reason"]);
        Self {
            disconnects: crate::metrics::register(registry, disconnects),
        }
    }
}
