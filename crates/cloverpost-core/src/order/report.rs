//! State reported by an engine.

use crate::id;
use crate::order::{Goal, State, Target};

/// Reported state of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// Loaded and ready to serve.
    Loaded,
    /// Being loaded.
    Loading,
    /// Unloaded from memory.
    Sleeping,
}

/// A version and its reported state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// The version.
    #[serde(flatten)]
    pub target: Target,
    /// The reported state.
    pub state: Condition,
}

/// State of an engine at the time of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Highest fencing token that the engine has accepted.
    pub fence: id::Fence,
    /// All versions known to the engine.
    pub targets: Vec<Status>,
}

impl Report {
    /// Returns the state of `target`; a version unknown to the engine counts as unloaded.
    #[must_use]
    pub fn state_of(&self, target: &Target) -> Condition {
        let known = self.targets.iter().find(|status| status.target == *target);
        known.map_or(Condition::Sleeping, |status| status.state)
    }

    /// Returns whether an order is needed to reach `goal`.
    #[must_use]
    pub fn needs(&self, goal: &Goal) -> bool {
        match (goal.state, self.state_of(&goal.target)) {
            (State::Loaded, Condition::Loaded | Condition::Loading)
            | (State::Sleeping, Condition::Sleeping) => false,
            (State::Loaded, Condition::Sleeping)
            | (State::Sleeping, Condition::Loaded | Condition::Loading) => true,
        }
    }

    /// Returns whether `goal` is reached.
    #[must_use]
    pub fn reached(&self, goal: &Goal) -> bool {
        matches!(
            (goal.state, self.state_of(&goal.target)),
            (State::Loaded, Condition::Loaded) | (State::Sleeping, Condition::Sleeping)
        )
    }
}
