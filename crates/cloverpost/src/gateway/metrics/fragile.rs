//! Metrics of fragile services.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of services whose upstreams fail when they reject too many requests.
#[derive(Clone, Debug)]
pub struct Fragile {
    /// Requests that fragile upstreams rejected, by service.
    pub rejections: IntCounterVec,
    /// Requests that no fragile upstream had a place for, by service.
    pub unplaced: IntCounterVec,
    /// Services known to be fragile.
    services: IntGauge,
}

impl Fragile {
    /// Creates the metrics in `registry`.
    pub(super) fn register(registry: &Registry) -> Self {
        let rejections = Opts::new(
            "fragile_rejections_total",
            "requests that fragile upstreams rejected",
        );
        let unplaced = Opts::new(
            "fragile_unplaced_total",
            "requests for which this VM had no place on a fragile upstream",
        );
        let services = IntGauge::new("fragile_services", "services known to be fragile");
        Self {
            rejections: crate::metrics::register(
                registry,
                IntCounterVec::new(rejections, &["service"]),
            ),
            unplaced: crate::metrics::register(
                registry,
                IntCounterVec::new(unplaced, &["service"]),
            ),
            services: crate::metrics::register(registry, services),
        }
    }

    /// Sets the number of services known to be fragile.
    pub fn set_services(&self, count: usize) {
        self.services.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}
