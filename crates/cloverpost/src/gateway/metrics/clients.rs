//! Metrics of the connections of clients.

use prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry};

/// Metrics of the connections of clients, by listener.
#[derive(Clone, Debug)]
pub struct Clients {
    /// Connections that were closed, by listener and reason.
    pub closed: IntCounterVec,
    open: IntGaugeVec,
    bytes: IntGaugeVec,
}

impl Clients {
    /// Creates the metrics in `registry`.
    pub(super) fn register(registry: &Registry) -> Self {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGaugeVec::new(Opts::new(name, help), &["listener"]);
            crate::metrics::register(registry, gauge)
        };
        let closed = Opts::new(
            "clients_closed_total",
            "connections closed for others or since they took too long, by reason",
        );
        let closed = IntCounterVec::new(closed, &["listener", "reason"]);
        Self {
            closed: crate::metrics::register(registry, closed),
            open: gauge("clients_open", "open connections of clients"),
            bytes: gauge(
                "clients_bytes",
                "estimated memory of these connections, in bytes",
            ),
        }
    }

    /// Sets the gauges of `listener`.
    pub fn set(&self, listener: &str, open: usize, bytes: u64) {
        let labels = [listener];
        let open = i64::try_from(open).unwrap_or(i64::MAX);
        self.open.with_label_values(&labels).set(open);
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.bytes.with_label_values(&labels).set(bytes);
    }
}
