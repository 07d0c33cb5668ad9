//! Metrics of the paths to upstreams.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of the paths to upstreams.
#[derive(Clone, Debug)]
pub struct Paths {
    /// Attempts to open a direct connection to an upstream, by result.
    pub connects: IntCounterVec,
    /// Tunnels asked of other VMs, by result.
    pub asked: IntCounterVec,
    /// Tunnels that other VMs asked for, by result.
    pub served: IntCounterVec,
    /// Open tunnels of other VMs.
    pub open: IntGauge,
    /// Upstreams whose direct path is broken.
    pub broken: IntGauge,
}

impl Paths {
    /// Creates the metrics in `registry`.
    pub(super) fn register(registry: &Registry) -> Self {
        let counters = |name, help| {
            let counters = IntCounterVec::new(Opts::new(name, help), &["result"]);
            crate::metrics::register(registry, counters)
        };
        let gauge = |name, help| crate::metrics::register(registry, IntGauge::new(name, help));
        Self {
            connects: counters(
                "upstream_connects_total",
                "attempts to open a direct connection to an upstream",
            ),
            asked: counters("tunnels_asked_total", "tunnels asked of other VMs"),
            served: counters("tunnels_served_total", "tunnels that other VMs asked for"),
            open: gauge("tunnels_open", "open tunnels of other VMs"),
            broken: gauge("paths_broken", "upstreams reached through other VMs only"),
        }
    }
}
