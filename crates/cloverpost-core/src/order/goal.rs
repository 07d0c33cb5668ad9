//! Desired state of an engine.

use crate::order::Target;

/// Desired state of a version. States are absolute, so applying one twice has no further
/// effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Loaded and ready to serve.
    Loaded,
    /// Unloaded from memory.
    Sleeping,
}

/// A version and its desired state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Goal {
    /// The version.
    #[serde(flatten)]
    pub target: Target,
    /// The desired state.
    pub state: State,
}
