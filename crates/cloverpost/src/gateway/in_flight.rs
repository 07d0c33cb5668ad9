//! Gauge of the requests in flight.

use crate::gateway::metrics::Metrics;

/// Counts a request as in flight until it is dropped.
///
/// A graceful shutdown waits for the count to reach zero. A guard also covers requests
/// whose future is dropped at an await because the caller disconnected.
#[derive(Debug)]
pub struct InFlightGuard(prometheus::IntGauge);

impl InFlightGuard {
    /// Increments the gauge.
    pub fn new(metrics: &Metrics) -> Self {
        let gauge = metrics.in_flight.clone();
        gauge.inc();
        Self(gauge)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}
