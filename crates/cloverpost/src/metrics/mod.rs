//! Prometheus counters, gauges and histograms.
//!
//! Label values come only from the catalogue or the code, never from caller input, so
//! that their cardinality is bounded.

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, PullingGauge, Registry, TextEncoder,
};

/// The metrics of a VM.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests answered completely, by entry and organisation.
    pub answered: IntCounterVec,
    /// Requests refused, by error code and by whether they ran on an upstream.
    pub refused: IntCounterVec,
    /// Attempts at upstreams, by result.
    pub attempts: IntCounterVec,
    /// Requests whose caller disconnected before the end of the response.
    pub disconnected: IntCounter,
    /// Answers aborted after their first bytes were sent, by error code.
    pub aborted: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Seconds from request to end of response, by entry.
    pub seconds: HistogramVec,
    /// Seconds from request to the first byte of a streamed response.
    pub first_byte: Histogram,
    /// Catalogue revision in use.
    pub revision: IntGauge,
    /// Live entry VMs, including this one.
    pub members: IntGauge,
    /// Verdicts of the rater, by entry and verdict.
    pub rated: IntCounterVec,
    /// Answers whose verdict did not arrive in time.
    pub unrated: IntCounter,
    /// Versions halted since this VM started.
    pub halted: IntGauge,
    /// 1 if verdicts arrive often enough to use cascades, else 0.
    pub rater_usable: IntGauge,
    /// Target number of running replicas, by pool; set only on the VM that decides it.
    pub replicas_wanted: IntGaugeVec,
    /// Concurrency limit of this VM, summed over the upstreams of a pool.
    pub upstream_limit: IntGaugeVec,
    /// Requests queued for upstream capacity, by pool.
    pub queued: IntCounterVec,
    /// Requests shed for lack of upstream capacity, by pool.
    pub shed: IntCounterVec,
    /// Failed calls to the platform, by service.
    pub platform_faults: IntCounterVec,
}

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0,
];

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates the metrics in a new registry.
    ///
    /// # Panics
    ///
    /// Never: all metric names are valid and distinct.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new_custom(Some("cloverpost".to_owned()), None)
            .expect("the prefix is a valid name");
        Self {
            answered: counter_vec(
                &registry,
                "answered_total",
                "requests answered whole",
                &["entry", "organisation"],
            ),
            refused: counter_vec(
                &registry,
                "refused_total",
                "requests refused",
                &["code", "ran"],
            ),
            attempts: counter_vec(
                &registry,
                "attempts_total",
                "attempts at upstreams",
                &["result"],
            ),
            disconnected: counter(
                &registry,
                "callers_left_total",
                "callers that left mid-answer",
            ),
            aborted: counter_vec(
                &registry,
                "cut_total",
                "answers cut off after their start",
                &["code"],
            ),
            in_flight: gauge(&registry, "in_flight", "requests in flight"),
            seconds: answer_seconds(&registry),
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
            rated: counter_vec(
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
            upstream_limit: gauge_vec(
                &registry,
                "upstream_limit",
                "requests of this VM in flight at most, summed over a pool's upstreams",
                &["pool"],
            ),
            queued: counter_vec(
                &registry,
                "queued_total",
                "requests that waited on this VM for a place on an upstream",
                &["pool"],
            ),
            shed: counter_vec(
                &registry,
                "shed_total",
                "requests refused as `overloaded`: displaced by more valuable ones, too late \
                 to start, or more than may wait",
                &["pool"],
            ),
            platform_faults: counter_vec(
                &registry,
                "platform_faults_total",
                "failed calls to the platform",
                &["service"],
            ),
            registry,
        }
    }

    /// The registry, for modules that register further metrics.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Registers a gauge whose value is read by `read` at each scrape.
    ///
    /// # Panics
    ///
    /// If `name` is already registered or not a valid metric name.
    pub fn register_gauge(
        &self,
        name: &str,
        help: &str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        register_gauge(&self.registry, name, help, read);
    }

    /// Encodes every metric in the Prometheus text format.
    ///
    /// # Panics
    ///
    /// Never: writing to memory does not fail.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        text(&self.registry)
    }
}

/// Registers a gauge in `registry` whose value is read by `read` at each scrape.
pub(crate) fn register_gauge(
    registry: &Registry,
    name: &str,
    help: &str,
    read: impl Fn() -> u64 + Send + Sync + 'static,
) {
    // Exact up to 2^53, well above any count of a VM.
    #[allow(clippy::cast_precision_loss)]
    let read = Box::new(move || read() as f64);
    let gauge = PullingGauge::new(name, help, read).expect("the name is valid");
    registry
        .register(Box::new(gauge))
        .expect("the name is used once");
}

/// Encodes `registry` in the Prometheus text format.
pub(crate) fn text(registry: &Registry) -> Vec<u8> {
    let mut text = Vec::new();
    TextEncoder::new()
        .encode(&registry.gather(), &mut text)
        .expect("writing to memory does not fail");
    text
}

pub(crate) fn register<C: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    result: prometheus::Result<C>,
) -> C {
    let collector = result.expect("the name is valid");
    registry
        .register(Box::new(collector.clone()))
        .expect("the name is used once");
    collector
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    register(registry, IntCounter::new(name, help))
}

fn counter_vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    register(registry, IntCounterVec::new(Opts::new(name, help), labels))
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(name, help))
}

fn gauge_vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    register(registry, IntGaugeVec::new(Opts::new(name, help), labels))
}

fn answer_seconds(registry: &Registry) -> HistogramVec {
    let options = HistogramOpts::new("answer_seconds", "seconds from request to end of answer")
        .buckets(LATENCY_BUCKETS.to_vec());
    register(registry, HistogramVec::new(options, &["entry"]))
}

fn first_byte(registry: &Registry) -> Histogram {
    let options = HistogramOpts::new("first_byte_seconds", "seconds to a stream's first byte")
        .buckets(LATENCY_BUCKETS.to_vec());
    register(registry, Histogram::with_opts(options))
}
