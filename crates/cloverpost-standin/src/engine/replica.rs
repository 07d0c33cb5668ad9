//! Replicas of model versions.

use std::collections::BTreeMap;
use std::sync::Mutex;

use crate::engine::Target;

/// State of one version on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Loaded and ready for requests.
    Loaded,
    /// Loading.
    Loading,
    /// Not in memory.
    Sleeping,
}

/// A version and its state.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// The version.
    #[serde(flatten)]
    pub target: Target,
    /// Its state.
    pub state: State,
}

/// Reason why a requested version is unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// The version is known but not loaded.
    Asleep,
    /// The version is unknown.
    Unknown,
}

/// The versions of an engine.
#[derive(Debug, Default)]
pub struct Replicas {
    states: Mutex<BTreeMap<Target, State>>,
}

impl Replicas {
    /// Sets the state of `target`.
    ///
    /// # Panics
    ///
    /// If the lock is poisoned.
    pub fn set(&self, target: Target, state: State) {
        let mut states = self.states.lock().expect("replica lock poisoned");
        states.insert(target, state);
    }

    /// Returns all versions and their states.
    ///
    /// # Panics
    ///
    /// If the lock is poisoned.
    #[must_use]
    pub fn statuses(&self) -> Vec<Status> {
        let states = self.states.lock().expect("replica lock poisoned");
        let entries = states.iter().map(|(target, state)| Status {
            target: target.clone(),
            state: *state,
        });
        entries.collect()
    }

    /// Returns the loaded version with the name `name`: `model@version`, or a model, which means the
    /// last of its loaded versions.
    pub fn resolve(&self, name: &str) -> Result<Target, Unavailable> {
        let named = |status: &Status| {
            status.target.to_string() == name || status.target.model.as_str() == name
        };
        let mut known: Vec<Status> = self.statuses().into_iter().filter(named).collect();
        if known.is_empty() {
            return Err(Unavailable::Unknown);
        }
        known.retain(|status| status.state == State::Loaded);
        known
            .pop()
            .map(|status| status.target)
            .ok_or(Unavailable::Asleep)
    }
}
