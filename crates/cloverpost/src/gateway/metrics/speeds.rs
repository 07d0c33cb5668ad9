//! Metrics of the speeds of upstreams.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};

use cloverpost_core::id;
use prometheus::{GaugeVec, Opts, Registry};

/// Learnt speeds of upstreams relative to their pools.
#[derive(Clone, Debug)]
pub struct Speeds {
    speeds: GaugeVec,
    /// Upstreams that have a value, to remove those that are gone.
    upstreams: Arc<Mutex<BTreeSet<id::Upstream>>>,
}

impl Speeds {
    /// Creates the metric in `registry`.
    pub(super) fn register(registry: &Registry) -> Self {
        let speeds = Opts::new(
            "upstream_speed",
            "learnt speed of an upstream relative to its pool, 1 is usual",
        );
        let speeds = GaugeVec::new(speeds, &["upstream"]);
        Self {
            speeds: crate::metrics::register(registry, speeds),
            upstreams: Arc::default(),
        }
    }

    /// Replaces all values.
    pub fn set(&self, speeds: &[(id::Upstream, f64)]) {
        let current = speeds.iter().map(|(upstream, _)| upstream.clone());
        let current: BTreeSet<_> = current.collect();
        let mut known = self
            .upstreams
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for upstream in known.difference(&current) {
            // Fails only if there is no such value.
            let _ = self.speeds.remove_label_values(&[upstream.as_str()]);
        }
        for (upstream, speed) in speeds {
            let gauge = self.speeds.with_label_values(&[upstream.as_str()]);
            gauge.set(*speed);
        }
        *known = current;
    }
}
