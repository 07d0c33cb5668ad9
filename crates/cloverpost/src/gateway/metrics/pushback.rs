//! Metrics of upstreams that asked for no requests.

use cloverpost_core::pushback::Block;
use prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry};

/// Metrics of upstreams that asked this VM to send them nothing.
#[derive(Clone, Debug)]
pub struct Pushback {
    /// Times that an upstream began to ask for it, by reason.
    pub asked: IntCounterVec,
    /// Attempts sent all the same, by service, reason and kind.
    pub sends: IntCounterVec,
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
        let sends = Opts::new(
            "pushback_sends_total",
            "sends to upstreams that had asked for none, by kind of send",
        );
        let upstreams = Opts::new(
            "pushback_upstreams",
            "upstreams that get no requests since they asked for none, by reason",
        );
        let sends = IntCounterVec::new(sends, &["service", "block", "kind"]);
        Self {
            asked: crate::metrics::register(registry, IntCounterVec::new(asked, &["block"])),
            sends: crate::metrics::register(registry, sends),
            upstreams: crate::metrics::register(registry, IntGaugeVec::new(upstreams, &["block"])),
        }
    }

    /// Sets the number of upstreams that get no requests for `block`.
    pub fn set_upstreams(&self, block: Block, count: usize) {
        let upstreams = self.upstreams.with_label_values(&[block.as_str()]);
        upstreams.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}
