//! Metrics of the answers.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::policy::versions::classes::{BRIEF, CLASSES};
use crate::policy::versions::workload::ORGANISATIONS;

/// Significant digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Reported percentile of the latencies.
const LATENCY_PERCENTILE: f64 = 95.0;

/// Seconds per point of the cost curve.
const BUCKET_SECS: u64 = 300;

/// Number, pass count and latencies of answers.
struct AnswerStats {
    answers: u32,
    passed: u32,
    latency: Histogram<u64>,
}

/// Costs in one bucket of the cost curve.
#[derive(Clone, Copy, Default)]
struct Cost {
    paid: f64,
    best: f64,
}

/// Result and cost of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outcome {
    pub(super) class: usize,
    pub(super) organisation: usize,
    pub(super) passes: bool,
    pub(super) latency: Duration,
    /// Cost of all answers and ratings.
    pub(super) paid: f64,
    /// Cost of an answer by the version with the highest quality.
    pub(super) best: f64,
}

/// Metrics of one run, including the time before quality estimates converge.
pub(super) struct Tally {
    classes: [AnswerStats; CLASSES.len()],
    /// Number of answers and of passed answers by class and organisation.
    pass_counts: [[(u32, u32); ORGANISATIONS]; CLASSES.len()],
    outage: AnswerStats,
    costs: Vec<Cost>,
}

impl AnswerStats {
    fn new() -> Self {
        Self {
            answers: 0,
            passed: 0,
            latency: Histogram::new(SIGNIFICANT_DIGITS).expect("three digits are supported"),
        }
    }

    fn record(&mut self, outcome: &Outcome) {
        self.answers += 1;
        self.passed += u32::from(outcome.passes);
        let micros = u64::try_from(outcome.latency.as_micros()).unwrap_or(u64::MAX);
        self.latency
            .record(micros)
            .expect("auto-resizing histogram");
    }

    fn quality(&self) -> f64 {
        f64::from(self.passed) / f64::from(self.answers.max(1))
    }

    fn p95_latency(&self) -> f64 {
        let micros = self.latency.value_at_percentile(LATENCY_PERCENTILE);
        Duration::from_micros(micros).as_secs_f64()
    }
}

impl Tally {
    pub(super) fn new() -> Self {
        Self {
            classes: std::array::from_fn(|_| AnswerStats::new()),
            pass_counts: [[(0, 0); ORGANISATIONS]; CLASSES.len()],
            outage: AnswerStats::new(),
            costs: Vec::new(),
        }
    }

    pub(super) fn record(&mut self, outcome: &Outcome, since_start: Duration, outage: bool) {
        self.classes[outcome.class].record(outcome);
        let (answers, passed) = &mut self.pass_counts[outcome.class][outcome.organisation];
        *answers += 1;
        *passed += u32::from(outcome.passes);
        if outage && outcome.class == BRIEF {
            self.outage.record(outcome);
        }
        let bucket = usize::try_from(since_start.as_secs() / BUCKET_SECS).unwrap_or(0);
        if self.costs.len() <= bucket {
            self.costs.resize(bucket + 1, Cost::default());
        }
        self.costs[bucket].paid += outcome.paid;
        self.costs[bucket].best += outcome.best;
    }

    /// Cost as a fraction of the cost of always using the best version.
    pub(super) fn cost_share(&self) -> f64 {
        let paid: f64 = self.costs.iter().map(|cost| cost.paid).sum();
        let best: f64 = self.costs.iter().map(|cost| cost.best).sum();
        paid / best
    }

    pub(super) fn cost_curve(&self) -> Vec<(f64, f64)> {
        let minutes = f64::from(u32::try_from(BUCKET_SECS / 60).unwrap_or(1));
        let points = (0_u32..).zip(&self.costs);
        points
            .map(|(index, cost)| (f64::from(index) * minutes, cost.paid / cost.best))
            .collect()
    }

    pub(super) fn quality(&self, class: usize) -> f64 {
        self.classes[class].quality()
    }

    pub(super) fn p95_latency(&self, class: usize) -> f64 {
        self.classes[class].p95_latency()
    }

    /// Minimum over classes and organisations of the pass rate minus its target.
    pub(super) fn min_quality_margin(&self) -> f64 {
        let margin = |class: usize, (answers, passed): (u32, u32)| {
            f64::from(passed) / f64::from(answers.max(1)) - CLASSES[class].goal.quality
        };
        let classes = self.pass_counts.iter().enumerate();
        let all = classes
            .flat_map(|(class, pass_counts)| pass_counts.map(|counts| margin(class, counts)));
        all.fold(1.0, f64::min)
    }

    /// Pass rate of briefs during the outage of the rating service.
    pub(super) fn outage_quality(&self) -> f64 {
        self.outage.quality()
    }

    /// 95th percentile of the latency of briefs during the outage, in seconds.
    pub(super) fn outage_p95_latency(&self) -> f64 {
        self.outage.p95_latency()
    }
}
