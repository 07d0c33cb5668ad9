//! Rollout messages between VMs.

use crate::directory;
use crate::evidence;
use crate::exposure::Key;
use crate::id;

/// A message between two VMs.
///
/// Append new variants at the end. A VM that does not know one rejects its frame and keeps the
/// link, so that no frame carries data that an earlier version needs with data that it lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Counts of the answers of both versions at the sender.
    Evidence(evidence::Digest<Key>),
    /// Sessions pinned to the previous version.
    Pinned {
        /// Service being rolled out.
        service: id::Pool,
        /// Version of the order row.
        order: directory::Version,
        /// The pinned sessions.
        sessions: Vec<u64>,
    },
    /// Counts at the sender of the responses that upstreams themselves completed or failed.
    Failures(evidence::Digest<Key>),
    /// Counts at the sender of the streams by the interval between their events.
    Pace(evidence::Digest<Key>),
}
