//! Metrics of connections to upstreams.

use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

/// Metrics of connections to upstreams.
#[derive(Clone, Debug)]
pub struct Connections {
    /// Connections opened.
    pub opened: IntCounter,
    /// New connections that the upstream closed, by service and by whether a request was written.
    pub resets: IntCounterVec,
}

impl Connections {
    /// Creates the metrics in `registry`.
    pub(super) fn register(registry: &Registry) -> Self {
        let opened = IntCounter::new(
            "upstream_connections_total",
            "connections opened to upstreams",
        );
        let resets = Opts::new(
            "upstream_connections_reset_total",
            "new connections that the upstream closed, before or after a request was written",
        );
        let resets = IntCounterVec::new(resets, &["service", "when"]);
        Self {
            opened: crate::metrics::register(registry, opened),
            resets: crate::metrics::register(registry, resets),
        }
    }
}
