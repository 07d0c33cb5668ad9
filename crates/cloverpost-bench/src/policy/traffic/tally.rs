//! Metrics of the requests.

use std::time::Duration;

use cloverpost_core::time;
use hdrhistogram::Histogram;

use crate::policy::traffic::request::{Dispatch, Request};
use crate::policy::traffic::setup::{CLASSES, Setup};

/// Significant digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Seconds per point of the goodput curve.
const BUCKET_SECS: usize = 5;

struct Class {
    arrived: u32,
    in_time: u32,
    latency: Histogram<u64>,
    time_to_first_byte: Histogram<u64>,
}

/// Metrics of one run, excluding the warm-up.
pub(super) struct Tally {
    warm_up: time::Moment,
    end: time::Moment,
    classes: [Class; CLASSES.len()],
    refused: u32,
    late: u32,
    answered: u32,
    tokens: u32,
    good_tokens: u32,
    good_by_bucket: Vec<u32>,
    hits: u32,
    misses: u32,
}

fn histogram() -> Histogram<u64> {
    Histogram::new(SIGNIFICANT_DIGITS).expect("three digits are supported")
}

fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    histogram.record(micros).expect("auto-resizing histogram");
}

fn seconds(micros: u64) -> f64 {
    Duration::from_micros(micros).as_secs_f64()
}

impl Tally {
    pub(super) fn new(setup: &Setup) -> Self {
        let start = time::Moment::default();
        let buckets = usize::try_from(setup.duration.as_secs()).unwrap_or(0) / BUCKET_SECS;
        Self {
            warm_up: start + setup.warm_up,
            end: start + setup.duration,
            classes: std::array::from_fn(|_| Class {
                arrived: 0,
                in_time: 0,
                latency: histogram(),
                time_to_first_byte: histogram(),
            }),
            refused: 0,
            late: 0,
            answered: 0,
            tokens: 0,
            good_tokens: 0,
            good_by_bucket: vec![0; buckets],
            hits: 0,
            misses: 0,
        }
    }

    pub(super) fn record_arrival(&mut self, request: &Request) {
        if request.arrived >= self.warm_up {
            self.classes[request.class].arrived += 1;
        }
    }

    pub(super) fn record_refusal(&mut self, request: &Request) {
        self.refused += u32::from(request.arrived >= self.warm_up);
    }

    /// Records an answer that was completed at `now`.
    pub(super) fn record_answer(
        &mut self,
        dispatch: &Dispatch,
        first_byte: time::Moment,
        now: time::Moment,
    ) {
        let request = &dispatch.request;
        let in_time = now <= request.deadline;
        self.record_throughput(request, now, in_time);
        if request.arrived < self.warm_up {
            return;
        }
        let class = &mut self.classes[request.class];
        class.in_time += u32::from(in_time);
        self.late += u32::from(!in_time);
        record(&mut class.latency, now.since(request.arrived));
        record(
            &mut class.time_to_first_byte,
            first_byte.since(request.arrived),
        );
    }

    /// Counts throughput between the warm-up and the last arrival. Includes requests that
    /// arrived during the warm-up.
    fn record_throughput(&mut self, request: &Request, now: time::Moment, in_time: bool) {
        if now < self.warm_up || now >= self.end {
            return;
        }
        self.answered += 1;
        self.tokens += request.output_tokens;
        if !in_time {
            return;
        }
        self.good_tokens += request.output_tokens;
        let second = usize::try_from(now.since_start().as_secs()).unwrap_or(usize::MAX);
        if let Some(bucket) = self.good_by_bucket.get_mut(second / BUCKET_SECS) {
            *bucket += 1;
        }
    }

    pub(super) fn record_cache(&mut self, hits: u32, misses: u32) {
        self.hits += hits;
        self.misses += misses;
    }

    fn counted_seconds(&self) -> f64 {
        self.end.since(self.warm_up).as_secs_f64()
    }

    fn arrived(&self) -> f64 {
        f64::from(self.classes.iter().map(|class| class.arrived).sum::<u32>())
    }

    fn all_latencies(&self) -> Histogram<u64> {
        let mut all = histogram();
        for class in &self.classes {
            all.add(&class.latency).expect("auto-resizing histogram");
        }
        all
    }

    /// Latency percentile over all classes, in seconds.
    pub(super) fn latency(&self, percentile: f64) -> f64 {
        seconds(self.all_latencies().value_at_percentile(percentile))
    }

    pub(super) fn latency_curve(&self) -> Vec<(f64, f64)> {
        let all = self.all_latencies();
        let point = |percent: u32| {
            let percentile = f64::from(percent);
            (percentile, seconds(all.value_at_percentile(percentile)))
        };
        (1..100).map(point).collect()
    }

    pub(super) fn class_latency(&self, class: usize, percentile: f64) -> f64 {
        seconds(self.classes[class].latency.value_at_percentile(percentile))
    }

    /// Percentile of the time to first byte in `class`, in seconds.
    pub(super) fn class_time_to_first_byte(&self, class: usize, percentile: f64) -> f64 {
        seconds(
            self.classes[class]
                .time_to_first_byte
                .value_at_percentile(percentile),
        )
    }

    /// Percentile of the time to first byte over all classes, in seconds.
    pub(super) fn time_to_first_byte(&self, percentile: f64) -> f64 {
        let mut all = histogram();
        for class in &self.classes {
            all.add(&class.time_to_first_byte)
                .expect("auto-resizing histogram");
        }
        seconds(all.value_at_percentile(percentile))
    }

    pub(super) fn class_in_time_share(&self, class: usize) -> f64 {
        let class = &self.classes[class];
        f64::from(class.in_time) / f64::from(class.arrived.max(1))
    }

    pub(super) fn in_time_share(&self) -> f64 {
        let in_time: u32 = self.classes.iter().map(|class| class.in_time).sum();
        f64::from(in_time) / self.arrived().max(1.0)
    }

    pub(super) fn refused_share(&self) -> f64 {
        f64::from(self.refused) / self.arrived().max(1.0)
    }

    pub(super) fn late_share(&self) -> f64 {
        f64::from(self.late) / self.arrived().max(1.0)
    }

    pub(super) fn cached_share(&self) -> f64 {
        f64::from(self.hits) / f64::from((self.hits + self.misses).max(1))
    }

    pub(super) fn answers_per_second(&self) -> f64 {
        f64::from(self.answered) / self.counted_seconds()
    }

    pub(super) fn good_answers_per_second(&self) -> f64 {
        let good: u32 = self.good_by_bucket.iter().sum();
        f64::from(good) / self.counted_seconds()
    }

    pub(super) fn tokens_per_second(&self) -> f64 {
        f64::from(self.tokens) / self.counted_seconds()
    }

    pub(super) fn good_tokens_per_second(&self) -> f64 {
        f64::from(self.good_tokens) / self.counted_seconds()
    }

    pub(super) fn goodput_curve(&self) -> Vec<(f64, f64)> {
        let width = f64::from(u32::try_from(BUCKET_SECS).unwrap_or(1));
        let points = (0_u32..).zip(&self.good_by_bucket);
        points
            .map(|(index, count)| (f64::from(index) * width, f64::from(*count) / width))
            .collect()
    }
}
