//! Metrics of the store's returns from a copy.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

use crate::gateway::metrics::register;

/// Metrics of the store's returns from a copy.
#[derive(Clone, Debug)]
pub struct Eras {
    /// Number of the copy from which the store last came back.
    pub era: IntGauge,
    /// Responses of an earlier era, by topic.
    pub ignored: IntCounterVec,
    /// Rows that are kept although the store has lost them, by table.
    pub kept: IntCounterVec,
    /// Upstreams that are not used although a copy lists them.
    pub withheld: IntGauge,
}

impl Eras {
    pub(super) fn register(registry: &Registry) -> Self {
        let counters = |name: &str, help: &str, label: &str| {
            let vector = IntCounterVec::new(Opts::new(name, help), &[label]);
            register(registry, vector)
        };
        let gauge = |name: &str, help: &str| register(registry, IntGauge::new(name, help));
        Self {
            era: gauge(
                "store_era",
                "number of the copy from which the store last came back",
            ),
            ignored: counters(
                "ignored_pages_total",
                "responses of the store that are of an earlier era",
                "topic",
            ),
            kept: counters(
                "kept_rows_total",
                "rows that are kept although the store has lost them",
                "table",
            ),
            withheld: gauge(
                "withheld_upstreams",
                "upstreams that are not used although a copy of the store lists them",
            ),
        }
    }
}
