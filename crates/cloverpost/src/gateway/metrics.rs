//! Counters and latency histograms of the gateway.
//!
//! Metrics are exported in order of name. Control metrics sort before the large histograms, which
//! a collector with a size limit may truncate.

mod callers;
mod clients;
mod connections;
mod eras;
mod fragile;
mod paths;
mod peers;
mod pushback;
mod rate_limits;
mod rollout_responses;
mod startup;

use std::sync::Arc;

use prometheus::{
    Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry,
};

use crate::peer;

pub use callers::Callers;
pub use clients::{Clients, Listener};
pub use connections::Connections;
pub use eras::Eras;
pub use fragile::Fragile;
pub use paths::Paths;
pub use peers::Peers;
pub use pushback::Pushback;
pub use rate_limits::RateLimits;
pub use rollout_responses::RolloutResponses;
pub use startup::Startup;

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0,
];

/// Exported counters of peer links.
const EXPORTED_LINK_COUNTERS: [&str; 10] = [
    "sent",
    "bytes_sent",
    "bytes_received",
    "opened",
    "failed",
    "lost",
    "timed_out",
    "unanswered",
    "dropped_oldest",
    "refused_busy",
];

/// All metrics of a gateway.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Finished requests, by route and outcome.
    pub requests: IntCounterVec,
    /// Attempts sent to upstreams, by service and result.
    pub attempts: IntCounterVec,
    /// Retries granted or refused by the fleet's budget, by service.
    pub retries: IntCounterVec,
    /// Requests sent again, by service and by the end of the attempt before.
    pub sent_again: IntCounterVec,
    /// Overdue attempts, by service and by why they were kept alone or what became of those beside them.
    pub overdue: IntCounterVec,
    /// Attempts whose upstream crashed, by service.
    pub crashes: IntCounterVec,
    /// Number of VMs that share the fleet's budgets.
    pub fleet: IntGauge,
    /// This VM's part of the fleet's retry slack.
    pub retry_slack: Gauge,
    /// Responses discarded to escalate to a larger model, by route.
    pub escalated: IntCounterVec,
    /// Streams resumed at another upstream, by route.
    pub resumed: IntCounterVec,
    /// Rate limits that upstreams state.
    pub rate_limits: RateLimits,
    /// Services whose upstreams fail when they reject too many requests.
    pub fragile: Fragile,
    /// Responses during rollouts.
    pub rollout_responses: RolloutResponses,
    /// Upstreams that asked this VM to send nothing.
    pub pushback: Pushback,
    /// Connections to upstreams.
    pub connections: Connections,
    /// Callers that do not read their responses.
    pub callers: Callers,
    /// Connections of clients.
    pub clients: Clients,
    /// Paths to upstreams.
    pub paths: Paths,
    /// Requests that arrive before the first configuration.
    pub startup: Startup,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Time to first byte in seconds, by route.
    pub first_byte: HistogramVec,
    /// Calls to the store, by topic and result.
    pub store_calls: IntCounterVec,
    /// Duration of successful calls to the store, in seconds.
    pub store_seconds: Histogram,
    /// Unreadable rows of the store, by topic; each row version counts once.
    pub unreadable_rows: IntCounterVec,
    /// Returns of the store from a copy.
    pub eras: Eras,
    /// Number of the configuration in force.
    pub configuration: IntGauge,
    /// Upstreams in use.
    pub upstreams: IntGauge,
    /// Evacuated availability zones.
    pub evacuated_zones: IntGauge,
    /// Tables received from peers.
    pub tables_from_peers: IntCounter,
    /// Requests to peers for newer tables, by result.
    pub peer_requests: IntCounterVec,
    /// Responses sent to requests from peers.
    pub peer_responses: IntCounter,
    /// What VMs tell each other.
    pub peers: Peers,
    /// Whether the readiness check passes.
    pub ready: IntGauge,
}

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
    /// Never: the names below are valid and differ.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new_custom(Some("cloverpost".to_owned()), None)
            .expect("the prefix is a valid name");
        let counters = |name: &str, help: &str, labels: &[&str]| {
            register(&registry, IntCounterVec::new(Opts::new(name, help), labels))
        };
        let counter = |name: &str, help: &str| register(&registry, IntCounter::new(name, help));
        let gauge = |name: &str, help: &str| register(&registry, IntGauge::new(name, help));
        let number = |name: &str, help: &str| register(&registry, Gauge::new(name, help));
        Self {
            requests: counters(
                "requests_total",
                "requests with their final answer",
                &["route", "outcome"],
            ),
            attempts: counters(
                "attempts_total",
                "sends to upstreams",
                &["service", "result"],
            ),
            retries: counters(
                "repeats_total",
                "repeated sends that the fleet's budget granted or refused",
                &["service", "result"],
            ),
            sent_again: counters(
                "sent_again_total",
                "requests sent again, by the end of the attempt before",
                &["service", "after"],
            ),
            overdue: register_overdue(&registry),
            crashes: counters(
                "crashes_total",
                "attempts whose upstream crashed",
                &["service"],
            ),
            fleet: gauge(
                "fleet_vms",
                "VMs that the budgets of the fleet are divided by",
            ),
            retry_slack: number(
                "repeat_slack",
                "this VM's part of the repeats beyond the share of its requests",
            ),
            escalated: counters(
                "escalated_total",
                "answers dropped for a larger model's",
                &["route"],
            ),
            resumed: counters(
                "resumed_total",
                "streams that went on at another upstream",
                &["route"],
            ),
            rate_limits: RateLimits::register(&registry),
            fragile: Fragile::register(&registry),
            rollout_responses: RolloutResponses::register(&registry),
            pushback: Pushback::register(&registry),
            connections: Connections::register(&registry),
            callers: Callers::register(&registry),
            clients: Clients::register(&registry),
            paths: Paths::register(&registry),
            startup: Startup::register(&registry),
            in_flight: gauge("in_flight", "requests in flight"),
            first_byte: register_first_byte(&registry),
            store_calls: counters(
                "store_calls_total",
                "calls to the store",
                &["topic", "result"],
            ),
            store_seconds: register(
                &registry,
                Histogram::with_opts(buckets("store_seconds", "seconds of calls to the store")),
            ),
            unreadable_rows: counters(
                "unreadable_rows_total",
                "rows of the store that could not be read",
                &["topic"],
            ),
            eras: Eras::register(&registry),
            configuration: gauge("configuration", "number of the configuration in force"),
            upstreams: gauge("upstreams", "upstreams that take work"),
            evacuated_zones: gauge(
                "evacuated_zones",
                "availability zones whose upstreams get no new work",
            ),
            tables_from_peers: counter("told_by_peers_total", "tables taken over from peers"),
            peer_requests: counters(
                "control_questions_total",
                "questions to peers for newer tables",
                &["result"],
            ),
            peer_responses: counter(
                "control_answers_total",
                "answers to such questions of peers",
            ),
            peers: Peers::register(&registry),
            ready: gauge("ready", "1 while the VM takes new connections"),
            registry,
        }
    }

    /// Registers the counters of peer links.
    pub fn register_link_counters(&self, links: &Arc<peer::Counters>) {
        let is_exported = |name: &str| EXPORTED_LINK_COUNTERS.contains(&name);
        let counts = links.values().into_iter().enumerate();
        for (index, (name, _)) in counts.filter(|(_, (name, _))| is_exported(name)) {
            let links = Arc::clone(links);
            let read = move || links.values()[index].1;
            let name = format!("control_link_{name}");
            crate::metrics::register_gauge(&self.registry, &name, "see the operators' page", read);
        }
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        crate::metrics::text(&self.registry)
    }
}

fn register_overdue(registry: &Registry) -> IntCounterVec {
    let options = Opts::new(
        "overdue_total",
        "overdue attempts, by why they were kept alone, and what became of those beside them",
    );
    register(
        registry,
        IntCounterVec::new(options, &["service", "result"]),
    )
}

fn register_first_byte(registry: &Registry) -> HistogramVec {
    let options = buckets("first_byte_seconds", "seconds to the start of the answer");
    register(registry, HistogramVec::new(options, &["route"]))
}

fn buckets(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec())
}

fn register<T: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<T>,
) -> T {
    crate::metrics::register(registry, metric)
}
