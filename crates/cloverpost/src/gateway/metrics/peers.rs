//! Metrics of what VMs tell each other.

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry};

/// Upper bounds of the buckets of queue times, in seconds.
const QUEUE_BUCKETS: [f64; 6] = [0.01, 0.05, 0.2, 0.7, 1.5, 3.0];

/// Metrics of what VMs tell each other.
#[derive(Clone, Debug)]
pub struct Peers {
    /// Messages to peers, by kind.
    pub messages: IntCounterVec,
    /// Requests that were quarantined or released on this VM, by change.
    pub quarantine_changes: IntCounterVec,
    /// Configurations that this VM lacked for more than a second.
    pub late_configurations: IntCounter,
    /// Commands of the control thread that were dropped after a panic.
    pub panics: IntCounter,
    /// Time that ticks waited for the control thread, in seconds.
    pub queue_seconds: Histogram,
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
        let late = IntCounter::new(
            "control_late_configurations_total",
            "configurations that were known for over a second and not here",
        );
        let panics = IntCounter::new(
            "control_panics_total",
            "commands of the control thread that were dropped after a panic",
        );
        let queue = HistogramOpts::new(
            "control_queue_seconds",
            "time that the periodic timer waited for the control thread",
        );
        let queue = queue.buckets(QUEUE_BUCKETS.to_vec());
        Self {
            late_configurations: crate::metrics::register(registry, late),
            panics: crate::metrics::register(registry, panics),
            queue_seconds: crate::metrics::register(registry, Histogram::with_opts(queue)),
            messages: counters(messages, "kind"),
            quarantine_changes: counters(changes, "change"),
        }
    }
}
