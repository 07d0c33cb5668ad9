//! Classes of work.

use std::time::Duration;

use crate::id;
use crate::measure;

/// A class of work: quality target, time limit and priority of its requests.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name, unique in the catalogue; accepted as `model` in requests.
    pub name: id::Class,
    /// Minimum share of answers that must pass a rating.
    #[serde(default)]
    pub quality_target: measure::Quality,
    /// Maximum time from request to end of answer, in milliseconds.
    #[serde(default = "Class::default_time_limit_ms")]
    pub time_limit_ms: u64,
    /// Priority under overload: classes with lower values are shed first.
    #[serde(default)]
    pub value: u32,
    /// Prefers latency over cost: answers are not held back for a rating.
    #[serde(default)]
    pub latency_first: bool,
}

impl Class {
    const fn default_time_limit_ms() -> u64 {
        60_000
    }

    /// Maximum time from request to end of answer.
    #[must_use]
    pub const fn time_limit(&self) -> Duration {
        Duration::from_millis(self.time_limit_ms)
    }
}
