//! The policies under comparison: cloverpost's own decisions and the baselines.

use std::fmt;
use std::str;

/// A policy that makes the decisions of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The decisions of `cloverpost-core`.
    Cloverpost,
    /// The decisions of `cloverpost-core` without prefix affinity.
    NoAffinity,
    /// A uniformly random upstream.
    Random,
    /// Each VM cycles through the upstreams.
    RoundRobin,
    /// The upstream with the lowest reported load.
    LeastReported,
    /// The upstream choice of `cloverpost-core` without concurrency limits, queues or shedding.
    NoShedding,
    /// The cheapest version for every request.
    AlwaysCheapest,
    /// The best version for every request.
    AlwaysBest,
    /// A canary that gets a tenth of the requests and is evaluated hourly.
    FixedCanary,
    /// Each VM enforces an equal share of the limit, regardless of demand.
    EqualShares,
    /// Each VM enforces the whole limit.
    PerVmLimit,
    /// All replicas are always awake.
    AlwaysAwake,
    /// Wakes a replica above one load and puts one to sleep below another.
    Reactive,
}

/// A policy name could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    name: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<_> = Policy::ALL.iter().map(|policy| policy.name()).collect();
        write!(
            f,
            "unknown policy `{}`, expected one of: {}",
            self.name,
            names.join(", ")
        )
    }
}

impl std::error::Error for Error {}

impl Policy {
    /// All policies.
    pub const ALL: &'static [Self] = &[
        Self::Cloverpost,
        Self::NoAffinity,
        Self::Random,
        Self::RoundRobin,
        Self::LeastReported,
        Self::NoShedding,
        Self::AlwaysCheapest,
        Self::AlwaysBest,
        Self::FixedCanary,
        Self::EqualShares,
        Self::PerVmLimit,
        Self::AlwaysAwake,
        Self::Reactive,
    ];

    /// The name on the command line and in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Cloverpost => "cloverpost",
            Self::NoAffinity => "no-affinity",
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastReported => "least-reported",
            Self::NoShedding => "no-shedding",
            Self::AlwaysCheapest => "always-cheapest",
            Self::AlwaysBest => "always-best",
            Self::FixedCanary => "fixed-canary",
            Self::EqualShares => "equal-shares",
            Self::PerVmLimit => "per-vm-limit",
            Self::AlwaysAwake => "always-awake",
            Self::Reactive => "reactive",
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

impl str::FromStr for Policy {
    type Err = Error;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let policy = Self::ALL.iter().find(|policy| policy.name() == name);
        policy.copied().ok_or_else(|| Error {
            name: name.to_owned(),
        })
    }
}
