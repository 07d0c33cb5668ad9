//! Metrics of what VMs tell each other.

use prometheus::{IntCounterVec, Opts, Registry};

/// Metrics of what VMs tell each other.
#[derive(Clone, Debug)]
pub struct Peers {
    /// Messages to peers, by kind.
    pub messages: IntCounterVec,
    /// Requests that were quarantined or released on this VM, by change.
    pub quarantine_changes: IntCounterVec,
}

impl Peers {
    /// Creates the metrics in `registry`.
    pub(super) fn register(registry: &Registry) -> Self {
        let messages = Opts::new(
            "control_messages_total",
            "messages queued for peers, by kind",
        );
        let changes = Opts::new(
            "quarantine_changes_total",
            "requests quarantined or released on this VM",
        );
        let counters =
            |opts, label| crate::metrics::register(registry, IntCounterVec::new(opts, &[label]));
        Self {
            messages: counters(messages, "kind"),
            quarantine_changes: counters(changes, "change"),
        }
    }
}
