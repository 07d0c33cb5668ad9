//! Commands of `POST /faults`.

use crate::engine::Quality;
use crate::script;

/// A command that changes the behaviour of an engine.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(untagged)]
pub enum Command {
    /// A command that all stand-ins support.
    Common(script::Command),
    /// Sets the share of bad answers of a version.
    Quality {
        /// Version and share.
        quality: Quality,
    },
}
