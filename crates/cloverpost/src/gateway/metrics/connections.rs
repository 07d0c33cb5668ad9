//! Metrics of connections to upstreams.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of connections to upstreams.
#[derive(Clone, Debug)]
pub struct Connections {
    /// Connections opened.
    pub opened: IntCounter,
    /// New connections that the upstream closed, by service and by whether a request was written.
    pub resets: IntCounterVec,
    /// Waits for a connection, by service and result.
    pub waits: IntCounterVec,
    /// Connections that are open or being opened.
    pub open: IntGauge,
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
        let waits = Opts::new(
            "upstream_connection_waits_total",
            "waits for a connection to an upstream that had none left for this VM, by result",
        );
        let waits = IntCounterVec::new(waits, &["service", "result"]);
        let open = IntGauge::new(
            "upstream_connections_open",
            "connections to upstreams that are open or being opened",
        );
        Self {
            waits: crate::metrics::register(registry, waits),
            open: crate::metrics::register(registry, open),
            opened: crate::metrics::register(registry, opened),
            resets: crate::metrics::register(registry, resets),
        }
    }
}
