//! Rating counts sent to peers.

use crate::evidence::{Counts, Key};
use crate::id;

/// Counts of the ratings received by one process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Digest<K = Key> {
    /// Process that received the ratings; its VM is the sender.
    pub process: id::Process,
    /// All or some of its counts.
    pub rows: Vec<Row<K>>,
}

/// Counts of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row<K = Key> {
    /// Key of the rated answers.
    pub key: K,
    /// Cumulative counts.
    pub counts: Counts,
}
