//! Metrics of connections to upstreams.

use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

/// Upper bounds of the ages at which new connections are reset, in seconds. A request that may not be
/// repeated is written to a connection after 2 ms.
const AGE_BUCKETS: [f64; 7] = [0.001, 0.002, 0.003, 0.005, 0.01, 0.1, 1.0];

/// Metrics of connections to upstreams.
#[derive(Clone, Debug)]
pub struct Connections {
    /// Connections opened.
    pub opened: IntCounter,
    /// Ages of new connections that the upstream reset, in seconds, by service and by whether a request
    /// was written.
    pub resets: HistogramVec,
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
        let resets = HistogramOpts::new(
            "upstream_connection_reset_seconds",
            "ages of new connections that the upstream reset, before or after a request was written",
        );
        let resets = resets.buckets(AGE_BUCKETS.to_vec());
        let resets = HistogramVec::new(resets, &["service", "when"]);
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
