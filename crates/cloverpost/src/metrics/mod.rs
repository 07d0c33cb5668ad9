//! Counters and gauges.
//!
//! Labels hold only names that the catalogue or the code bounds, never what a
//! caller sends.

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, PullingGauge, Registry, TextEncoder,
};

/// Every metric of a VM.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests answered whole, by entry and organisation.
    pub answered: IntCounterVec,
    /// Requests refused, by code and by whether they ran.
    pub refused: IntCounterVec,
    /// Attempts at upstreams, by result.
    pub attempts: IntCounterVec,
    /// Streams that a caller left before their end.
    pub left: IntCounter,
    /// Answers cut off after the caller saw their start, by code.
    pub cut: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Seconds from request to end of answer, by entry.
    pub seconds: HistogramVec,
    /// Seconds from request to the first byte of a streamed answer.
    pub first_byte: Histogram,
    /// Revision of the catalogue that is served.
    pub revision: IntGauge,
    /// Entry VMs that are present, this one included.
    pub members: IntGauge,
    /// Verdicts of the rater, by entry and verdict.
    pub rated: IntCounterVec,
    /// Verdicts that did not come in time.
    pub unrated: IntCounter,
    /// Versions halted since the start.
    pub halted: IntGauge,
    /// Whether enough verdicts come for cascades.
    pub rater_usable: IntGauge,
    /// Replicas to be awake, by pool; set on the VM that decides.
    pub replicas_wanted: IntGaugeVec,
    /// Requests of this VM that the upstreams of a pool get at once at most.
    pub upstream_limit: IntGaugeVec,
    /// Requests that waited for a place on an upstream, by pool.
    pub queued: IntCounterVec,
    /// Requests shed because no place was left for them, by pool.
    pub shed: IntCounterVec,
    /// Calls to the platform that failed, by service.
    pub platform_faults: IntCounterVec,
}

/// Upper bounds of latency buckets, in seconds.
const SECONDS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0,
];

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Metrics in a registry of their own.
    ///
    /// # Panics
    ///
    /// Never: the names below are valid and differ.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new_custom(Some("cloverpost".to_owned()), None)
            .expect("the prefix is a valid name");
        Self {
            answered: counters(
                &registry,
                "answered_total",
                "requests answered whole",
                &["entry", "organisation"],
            ),
            refused: counters(
                &registry,
                "refused_total",
                "requests refused",
                &["code", "ran"],
            ),
            attempts: counters(
                &registry,
                "attempts_total",
                "attempts at upstreams",
                &["result"],
            ),
            left: counter(
                &registry,
                "callers_left_total",
                "callers that left mid-answer",
            ),
            cut: counters(
                &registry,
                "cut_total",
                "answers cut off after their start",
                &["code"],
            ),
            in_flight: gauge(&registry, "in_flight", "requests in flight"),
            seconds: seconds(&registry),
            first_byte: first_byte(&registry),
            revision: gauge(&registry, "catalogue_revision", "revision served"),
            replicas_wanted: register(
                &registry,
                IntGaugeVec::new(
                    Opts::new(
                        "replicas_wanted",
                        "replicas to be awake, where it is decided",
                    ),
                    &["pool"],
                ),
            ),
            members: gauge(&registry, "members", "entry VMs present, this one included"),
            rated: counters(
                &registry,
                "rated_total",
                "answers rated, by verdict",
                &["entry", "verdict"],
            ),
            unrated: counter(
                &registry,
                "unrated_total",
                "answers whose verdict did not come in time",
            ),
            halted: gauge(
                &registry,
                "halted_versions",
                "versions found bad and halted",
            ),
            rater_usable: gauge(
                &registry,
                "rater_usable",
                "1 while enough verdicts come for cascades",
            ),
            upstream_limit: gauges(
                &registry,
                "upstream_limit",
                "requests of this VM in flight at most, summed over a pool's upstreams",
                &["pool"],
            ),
            queued: counters(
                &registry,
                "queued_total",
                "requests that waited on this VM for a place on an upstream",
                &["pool"],
            ),
            shed: counters(
                &registry,
                "shed_total",
                "requests refused as `overloaded`: displaced by more valuable ones, too late \
                 to start, or more than may wait",
                &["pool"],
            ),
            platform_faults: counters(
                &registry,
                "platform_faults_total",
                "failed calls to the platform",
                &["service"],
            ),
            registry,
        }
    }

    /// The registry, for parts that add metrics of their own.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Shows a number that another part keeps; it is read at each scrape.
    ///
    /// # Panics
    ///
    /// If `name` is used already, or is no name of a metric.
    pub fn show(&self, name: &str, help: &str, read: impl Fn() -> u64 + Send + Sync + 'static) {
        show(&self.registry, name, help, read);
    }

    /// Every metric in the Prometheus text format.
    ///
    /// # Panics
    ///
    /// Never: writing to memory does not fail.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        text(&self.registry)
    }
}

/// Shows in `registry` a number that another part keeps; it is read at each scrape.
pub(crate) fn show(
    registry: &Registry,
    name: &str,
    help: &str,
    read: impl Fn() -> u64 + Send + Sync + 'static,
) {
    // Exact up to 2^53, which no count of a VM reaches.
    #[allow(clippy::cast_precision_loss)]
    let read = Box::new(move || read() as f64);
    let gauge = PullingGauge::new(name, help, read).expect("the name is valid");
    registry
        .register(Box::new(gauge))
        .expect("the name is used once");
}

/// Everything in `registry` in the Prometheus text format.
pub(crate) fn text(registry: &Registry) -> Vec<u8> {
    let mut text = Vec::new();
    TextEncoder::new()
        .encode(&registry.gather(), &mut text)
        .expect("writing to memory does not fail");
    text
}

pub(crate) fn register<C: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    made: prometheus::Result<C>,
) -> C {
    let collector = made.expect("the name is valid");
    registry
        .register(Box::new(collector.clone()))
        .expect("the name is used once");
    collector
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    register(registry, IntCounter::new(name, help))
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    register(registry, IntCounterVec::new(Opts::new(name, help), labels))
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(name, help))
}

fn gauges(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    register(registry, IntGaugeVec::new(Opts::new(name, help), labels))
}

fn seconds(registry: &Registry) -> HistogramVec {
    let options = HistogramOpts::new("answer_seconds", "seconds from request to end of answer")
        .buckets(SECONDS.to_vec());
    register(registry, HistogramVec::new(options, &["entry"]))
}

fn first_byte(registry: &Registry) -> Histogram {
    let options = HistogramOpts::new("first_byte_seconds", "seconds to a stream's first byte")
        .buckets(SECONDS.to_vec());
    register(registry, Histogram::with_opts(options))
}
