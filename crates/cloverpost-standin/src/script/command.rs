//! Commands of `POST /faults`.

use std::time::Duration;

use crate::host::Phase;
use crate::script::{Rule, millis};

/// A command that changes the behaviour of a stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Adds a rule.
    Inject(Rule),
    /// Removes all rules.
    Clear,
    /// Sets the phase.
    Phase(Phase),
    /// Crashes immediately.
    Crash {
        /// Time for which new connections are refused, in milliseconds.
        #[serde(rename = "down_ms", with = "millis")]
        downtime: Duration,
    },
}
