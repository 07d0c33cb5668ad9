//! Organisations.

use crate::catalogue::KeyHash;
use crate::id;

/// An organisation with its API keys, permissions and limits.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name, unique in the catalogue.
    pub name: id::Organisation,
    /// Hashes of its API keys.
    pub keys: Vec<KeyHash>,
    /// Entries that it may use.
    pub entries: Vec<id::Entry>,
    /// Maximum request rate per second across all VMs; 0 means no limit.
    #[serde(default)]
    pub requests_per_second: u32,
    /// Maximum number of requests in flight across all VMs; 0 means no limit.
    #[serde(default)]
    pub concurrency: u32,
}

impl Organisation {
    /// Whether the organisation may use `entry`.
    #[must_use]
    pub fn permits(&self, entry: &id::Entry) -> bool {
        self.entries.contains(entry)
    }
}
