//! Metrics of the connections of clients.

use prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};

/// Metrics of the connections of clients, by listener.
#[derive(Clone, Debug)]
pub struct Clients {
    closed: IntCounterVec,
    open: IntGaugeVec,
    bytes: IntGaugeVec,
    /// Bodies of running requests that were given up for others.
    pub given_up: IntCounter,
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
            given_up: crate::metrics::register(
                registry,
                IntCounter::with_opts(Opts::new(
                    "bodies_given_up_total",
                    "bodies of running requests given up for others, so that these requests are not sent again",
                )),
            ),
        }
    }

    /// The metrics of the listener named `name`.
    #[must_use]
    pub fn listener(&self, name: &str) -> Listener {
        Listener {
            closed_for_others: self.closed.with_label_values(&[name, "limit"]),
            closed_late: self.closed.with_label_values(&[name, "late"]),
            open: self.open.with_label_values(&[name]),
            bytes: self.bytes.with_label_values(&[name]),
        }
    }
}

/// Metrics of one listener.
#[derive(Clone, Debug)]
pub struct Listener {
    /// Connections closed for others.
    pub closed_for_others: IntCounter,
    /// Connections closed since they took too long.
    pub closed_late: IntCounter,
    open: IntGauge,
    bytes: IntGauge,
}

impl Listener {
    /// Sets the number of connections and their memory.
    pub fn set(&self, open: usize, bytes: u64) {
        self.open.set(i64::try_from(open).unwrap_or(i64::MAX));
        self.bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }
}
