//! What VMs tell each other of roll-outs.

use crate::directory;
use crate::evidence;
use crate::exposure::Key;
use crate::id;

/// A message between two VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// How the two sides answered on the sender.
    Evidence(evidence::Digest<Key>),
    /// Sessions that stay on the old version.
    Pinned {
        /// Service that is moved.
        service: id::Pool,
        /// Version of the order's row.
        order: directory::Version,
        /// The sessions.
        sessions: Vec<u64>,
    },
}
