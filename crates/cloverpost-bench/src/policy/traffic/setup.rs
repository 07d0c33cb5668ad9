//! Parameters of the traffic scenarios.

use std::time::Duration;

/// A request class.
pub(super) struct Class {
    /// Fraction of the requests.
    pub(super) share: f64,
    /// Value of a request when load is shed.
    pub(super) value: u32,
    /// Maximum time from arrival to the last byte.
    pub(super) time_limit: Duration,
    /// Mean number of tokens in an answer.
    pub(super) output_tokens: f64,
}

/// Briefs, summaries and tags, in descending order of value.
pub(super) const CLASSES: [Class; 3] = [
    Class {
        share: 0.15,
        value: 9,
        time_limit: Duration::from_secs(40),
        output_tokens: 300.0,
    },
    Class {
        share: 0.35,
        value: 5,
        time_limit: Duration::from_secs(40),
        output_tokens: 200.0,
    },
    Class {
        share: 0.50,
        value: 1,
        time_limit: Duration::from_secs(10),
        output_tokens: 40.0,
    },
];

/// Index of the class with the highest value.
pub(super) const TOP_CLASS: usize = 0;

/// Tokens in a prompt prefix, which an engine can cache.
pub(super) const PREFIX_TOKENS: u32 = 1_500;

/// Tokens in a prompt after its prefix.
pub(super) const SUFFIX_TOKENS: u32 = 500;

/// Capacity of an engine in requests per second, with a full batch and an empty cache.
///
/// Follows from the constants of [`crate::policy::traffic::engine`]: a mean answer of 135
/// tokens at 571 tokens per second, and 2,000 prompt tokens at 20,000 per second.
const ENGINE_CAPACITY: f64 = 2.97;

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Setup {
    /// Number of VMs.
    pub(super) vms: usize,
    /// Number of engines in the pool.
    pub(super) engines: usize,
    /// Requests per second over all VMs.
    pub(super) rate: f64,
    /// Number of distinct prompt prefixes.
    pub(super) prefixes: u32,
    /// Duration of the arrivals.
    pub(super) duration: Duration,
    /// Time at the start that is excluded from the metrics.
    pub(super) warm_up: Duration,
    /// Interval between load reports of an engine.
    pub(super) report_interval: Duration,
    /// Time from sampling a load to its arrival at the VMs.
    pub(super) report_lag: Duration,
}

impl Setup {
    /// Nine VMs and twenty engines, with a demand of `load` times the capacity.
    pub(super) fn with_load(load: f64) -> Self {
        Self {
            vms: 9,
            engines: 20,
            rate: load * ENGINE_CAPACITY * 20.0,
            prefixes: 400,
            duration: Duration::from_mins(5),
            warm_up: Duration::from_mins(1),
            report_interval: Duration::from_secs(2),
            report_lag: Duration::from_secs(2),
        }
    }
}
