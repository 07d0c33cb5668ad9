//! Metrics of upstreams that asked for no requests.

use cloverpost_core::pushback::Block;
use prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry};

/// Metrics of upstreams that asked this VM to send them nothing.
#[derive(Clone, Debug)]
pub struct Pushback {
    /// Times that an upstream began to ask for it, by reason.
    pub asked: IntCounterVec,
    /// Attempts whose upstream asked before the request was sent, by service, reason and kind.
    pub withheld: IntCounterVec,
    /// Upstreams that get no requests now, by reason.
    upstreams: IntGaugeVec,
}

impl Pushback {
    /// Creates the metrics in `registry`.
    pub(super) fn register(registry: &Registry) -> Self {
        let asked = Opts::new(
            "pushback_asked_total",
            "times that an upstream began to ask for no requests, by reason",
        );
        let withheld = Opts::new(
            "pushback_withheld_total",
            "attempts whose upstream asked for none before they were sent, by kind",
        );
        let upstreams = Opts::new(
            "pushback_upstreams",
            "upstreams that get no requests since they asked for none, by reason",
        );
        let withheld = IntCounterVec::new(withheld, &["service", "block", "kind"]);
        Self {
            asked: crate::metrics::register(registry, IntCounterVec::new(asked, &["block"])),
            withheld: crate::metrics::register(registry, withheld),
            upstreams: crate::metrics::register(registry, IntGaugeVec::new(upstreams, &["block"])),
        }
    }

    /// Sets the number of upstreams that get no requests for `block`.
    pub fn set_upstreams(&self, block: Block, count: usize) {
        let upstreams = self.upstreams.with_label_values(&[block.as_str()]);
        upstreams.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}
