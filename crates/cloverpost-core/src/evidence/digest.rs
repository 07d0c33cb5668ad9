//! Counts on their way to peers.

use crate::evidence::{Counts, Key};
use crate::id;

/// Counts of one process's own ratings.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Digest<K = Key> {
    /// Process that counted; its VM is the sender.
    pub process: id::Process,
    /// Its counts, or some of them.
    pub rows: Vec<Row<K>>,
}

/// Counts of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row<K = Key> {
    /// What was rated.
    pub key: K,
    /// Ratings so far.
    pub counts: Counts,
}
