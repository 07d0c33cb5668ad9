//! A VM and its view of the rollout.

use std::time::Duration;

use cloverpost_core::{evidence, id, rollout, time};

/// Time until the lease of a failed holder expires.
pub(super) const LEASE_TTL: Duration = Duration::from_secs(30);

/// A VM that routes requests to the old or the new version.
pub(super) struct Vm {
    name: id::Vm,
    process: id::Process,
    pub(super) ledger: evidence::Ledger,
    pub(super) row: rollout::Row,
    row_since: time::Moment,
    /// Whether this VM or one of its peers halted the rollout.
    pub(super) halted: bool,
    detector: Option<rollout::Detector>,
    /// Counts that the detector has already recorded.
    recorded: evidence::Counts,
}

impl Vm {
    pub(super) fn new(index: usize, row: rollout::Row, now: time::Moment) -> Self {
        Self {
            name: format!("vm-{index}").parse().expect("valid name"),
            process: id::Process::new(0),
            ledger: evidence::Ledger::default(),
            row,
            row_since: now,
            halted: false,
            detector: None,
            recorded: evidence::Counts::default(),
        }
    }

    /// Replaces the process. The new one knows only the stored row.
    pub(super) fn replace(&mut self, row: rollout::Row, now: time::Moment) {
        self.process = self.process.next();
        self.ledger = evidence::Ledger::default();
        self.halted = false;
        self.detector = None;
        self.row = row;
        self.row_since = now;
    }

    /// Records a rating received by this VM.
    pub(super) fn record_rating(&mut self, entry: &id::Entry, passed: bool) {
        let source = evidence::Source {
            vm: self.name.clone(),
            process: self.process,
        };
        self.ledger.record(&source, &key(entry), passed);
    }

    /// Adopts the row read from the store.
    pub(super) fn update_row(&mut self, row: &rollout::Row, now: time::Moment) {
        if self.row != *row {
            self.row = row.clone();
            self.row_since = now;
        }
    }

    /// Share of the requests that this VM sends to the new version.
    pub(super) fn share(&self, options: &rollout::Options) -> f64 {
        if self.halted {
            0.0
        } else {
            self.row.share(options)
        }
    }

    pub(super) fn evidence(&self) -> rollout::Evidence {
        rollout::Evidence {
            new: self.ledger.total(&key(&self.row.entry)),
            old: self.ledger.total(&key(&self.row.replaces)),
        }
    }

    /// Assesses the new version with the evidence known to this VM.
    pub(super) fn assess(
        &mut self,
        now: time::Moment,
        options: &rollout::Options,
    ) -> rollout::Verdict {
        if self.halted {
            return rollout::Verdict::Halt;
        }
        let evidence = self.evidence();
        if self.row.state == rollout::State::Done {
            return self.detect_degradation(evidence.new, options);
        }
        let row_age = now.since(self.row_since);
        rollout::assess(&self.row, evidence, row_age, options)
    }

    /// Runs the change detector on a version whose rollout completed.
    fn detect_degradation(
        &mut self,
        counts: evidence::Counts,
        options: &rollout::Options,
    ) -> rollout::Verdict {
        let baseline = self.row.mark.new;
        let detector = self.detector.get_or_insert_with(|| {
            self.recorded = baseline;
            rollout::Detector::new(baseline)
        });
        let new = counts.saturating_sub(self.recorded);
        self.recorded = self.recorded.max(counts);
        if detector.record(new, options) {
            rollout::Verdict::Halt
        } else {
            rollout::Verdict::Wait
        }
    }
}

/// Evidence key of `entry`; all simulated requests belong to one organisation.
fn key(entry: &id::Entry) -> evidence::Key {
    evidence::Key {
        entry: entry.clone(),
        organisation: "organisation".parse().expect("valid name"),
        after: None,
    }
}
