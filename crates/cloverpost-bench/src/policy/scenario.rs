//! The simulated scenarios and the policies compared in each.

use std::fmt;
use std::str;

use crate::policy::{Axes, Policy, Row, autoscaling, canary, flood, traffic, versions};

/// A simulated scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Demand at 80 % of the pool's capacity, with load reports that lag by seconds.
    StaleReports,
    /// Demand at twice the pool's capacity.
    Overload,
    /// Eleven versions; all organisations send equally difficult requests.
    Steady,
    /// Eleven versions; the difficulty of requests differs between organisations.
    UnlikeClasses,
    /// Like [`Self::Steady`], with a rating service that is down for a quarter of the run.
    RatingOutage,
    /// A new version that is worse than the current one from the start.
    BadCanary,
    /// A new version as good as the current one, so that any halt is a false positive.
    GoodCanary,
    /// A new version that degrades after its rollout completed.
    TurnedBad,
    /// A rollout during which the lease holder fails and every VM is replaced.
    Interrupted,
    /// An organisation sends five times its rate limit through nine VMs.
    Flood,
    /// An organisation sends five times its rate limit through sixty-three VMs.
    FloodMany,
    /// A day with bursts of demand and replicas that take minutes to wake.
    Burst,
}

/// A scenario name could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    name: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<_> = Scenario::ALL
            .iter()
            .map(|scenario| scenario.name())
            .collect();
        write!(
            f,
            "unknown scenario `{}`, expected one of: {}",
            self.name,
            names.join(", ")
        )
    }
}

impl std::error::Error for Error {}

impl Scenario {
    /// All scenarios.
    pub const ALL: &'static [Self] = &[
        Self::StaleReports,
        Self::Overload,
        Self::Steady,
        Self::UnlikeClasses,
        Self::RatingOutage,
        Self::BadCanary,
        Self::GoodCanary,
        Self::TurnedBad,
        Self::Interrupted,
        Self::Flood,
        Self::FloodMany,
        Self::Burst,
    ];

    /// The name on the command line and in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::StaleReports => "stale-reports",
            Self::Overload => "overload",
            Self::Steady => "steady",
            Self::UnlikeClasses => "unlike-classes",
            Self::RatingOutage => "rating-outage",
            Self::BadCanary => "bad-canary",
            Self::GoodCanary => "good-canary",
            Self::TurnedBad => "turned-bad",
            Self::Interrupted => "interrupted",
            Self::Flood => "flood",
            Self::FloodMany => "flood-many",
            Self::Burst => "burst",
        }
    }

    /// The policies compared in this scenario, cloverpost first.
    #[must_use]
    pub const fn policies(self) -> &'static [Policy] {
        match self {
            Self::StaleReports => &[
                Policy::Cloverpost,
                Policy::NoAffinity,
                Policy::Random,
                Policy::RoundRobin,
                Policy::LeastReported,
            ],
            Self::Overload => &[Policy::Cloverpost, Policy::NoAffinity, Policy::NoShedding],
            Self::Steady | Self::UnlikeClasses | Self::RatingOutage => &[
                Policy::Cloverpost,
                Policy::AlwaysCheapest,
                Policy::AlwaysBest,
            ],
            Self::BadCanary | Self::GoodCanary | Self::TurnedBad | Self::Interrupted => {
                &[Policy::Cloverpost, Policy::FixedCanary]
            }
            Self::Flood | Self::FloodMany => {
                &[Policy::Cloverpost, Policy::EqualShares, Policy::PerVmLimit]
            }
            Self::Burst => &[Policy::Cloverpost, Policy::Reactive, Policy::AlwaysAwake],
        }
    }

    /// Axis labels of the curves.
    pub(crate) const fn axes(self) -> Axes {
        match self {
            Self::StaleReports => Axes {
                x: "percentile",
                y: "latency, seconds",
            },
            Self::Overload => Axes {
                x: "time, seconds",
                y: "answers in time, a second",
            },
            Self::Steady | Self::UnlikeClasses | Self::RatingOutage => Axes {
                x: "time, minutes",
                y: "cost as a share of always-best",
            },
            Self::BadCanary | Self::GoodCanary | Self::TurnedBad | Self::Interrupted => Axes {
                x: "time, minutes",
                y: "share of the new version",
            },
            Self::Flood | Self::FloodMany => Axes {
                x: "time, seconds",
                y: "admitted requests a second",
            },
            Self::Burst => Axes {
                x: "time, minutes",
                y: "replicas awake",
            },
        }
    }

    /// Simulates the scenario with one policy.
    pub(crate) fn simulate(self, policy: Policy, seed: u64) -> Row {
        match self {
            Self::StaleReports => traffic::stale_reports(policy, seed),
            Self::Overload => traffic::overload(policy, seed),
            Self::Steady => versions::steady(policy, seed),
            Self::UnlikeClasses => versions::unlike_classes(policy, seed),
            Self::RatingOutage => versions::rating_outage(policy, seed),
            Self::BadCanary => canary::bad(policy, seed),
            Self::GoodCanary => canary::good(policy, seed),
            Self::TurnedBad => canary::turned_bad(policy, seed),
            Self::Interrupted => canary::interrupted(policy, seed),
            Self::Flood => flood::small_deployment(policy, seed),
            Self::FloodMany => flood::large_deployment(policy, seed),
            Self::Burst => autoscaling::burst(policy, seed),
        }
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

impl str::FromStr for Scenario {
    type Err = Error;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let scenario = Self::ALL.iter().find(|scenario| scenario.name() == name);
        scenario.copied().ok_or_else(|| Error {
            name: name.to_owned(),
        })
    }
}
