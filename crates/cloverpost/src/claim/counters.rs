//! Counters of claims.

use prometheus::{IntCounter, IntGauge, Registry};

/// Counters of the claims of one VM; clones share them.
#[derive(Clone, Debug)]
pub struct Counters {
    /// Claims granted.
    pub granted: IntCounter,
    /// Answers replayed.
    pub replayed: IntCounter,
    /// Claims refused, for any reason.
    pub refused: IntCounter,
    /// Claims abandoned while their write was in doubt; their rows are released.
    pub abandoned: IntCounter,
    /// Claims marked as unknown because their claimant is dead.
    pub marked: IntCounter,
    /// Rows settled.
    pub settled: IntCounter,
    /// Rows that were absent or belonged to another claim when they were settled.
    pub superseded: IntCounter,
    /// Failed attempts to settle that were retried.
    pub retries: IntCounter,
    /// Answers whose bodies were dropped because the memory limit was reached.
    pub answers_dropped: IntCounter,
    /// Transactions sent.
    pub transactions: IntCounter,
    /// Rows in transactions, without manifests.
    pub rows: IntCounter,
    /// Conflicts of transactions of several rows after which the rows were read.
    pub batch_conflicts: IntCounter,
    /// Reads sent.
    pub reads: IntCounter,
    /// Claims that are being settled.
    pub settling: IntGauge,
}

impl Counters {
    /// Creates counters at zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            granted: counter("granted_total", "Claims granted."),
            replayed: counter("replayed_total", "Answers repeated."),
            refused: counter("refused_total", "Claims refused."),
            abandoned: counter("abandoned_total", "Claims given up in doubt."),
            marked: counter("marked_total", "Claims whose claimant is gone."),
            settled: counter("settled_total", "Claims settled."),
            superseded: counter("superseded_total", "Claims gone before they were settled."),
            retries: counter("retries_total", "Failed attempts to settle."),
            answers_dropped: counter("answers_dropped_total", "Answers not kept."),
            transactions: counter("transactions_total", "Transactions sent."),
            rows: counter("rows_total", "Rows in transactions."),
            batch_conflicts: counter("sifted_total", "Transactions sifted after a conflict."),
            reads: counter("reads_total", "Reads sent."),
            settling: gauge("waiting", "Claims that wait to be settled."),
        }
    }

    /// Registers the counters in `registry`.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        let counters = [
            &self.granted,
            &self.replayed,
            &self.refused,
            &self.abandoned,
            &self.marked,
            &self.settled,
            &self.superseded,
            &self.retries,
            &self.answers_dropped,
            &self.transactions,
            &self.rows,
            &self.batch_conflicts,
            &self.reads,
        ];
        for counter in counters {
            registry.register(Box::new(counter.clone()))?;
        }
        registry.register(Box::new(self.settling.clone()))
    }
}

impl Default for Counters {
    fn default() -> Self {
        Self::new()
    }
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(format!("claim_{name}"), help).expect("valid metric name")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(format!("claim_{name}"), help).expect("valid metric name")
}
