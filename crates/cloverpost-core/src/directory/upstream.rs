//! Registered upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id;

/// An upstream, as registered in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Upstream {
    /// Its id.
    pub id: id::Upstream,
    /// Service that it is part of.
    pub service: id::Pool,
    /// Address that it listens on; may be reused by another incarnation.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: id::AvailabilityZone,
    /// Version of its software.
    pub version: id::Version,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Start time of its process, in milliseconds of the upstream's clock; `None` if upstreams do
    /// not report it. A restart under the same id has a different start time.
    pub born_ms: Option<u64>,
    /// Remaining warm-up time when it registered or last updated its entry. A cold upstream has
    /// little capacity and fails when overloaded.
    pub cold: Duration,
    /// Whether it is leaving and accepts no new work.
    pub is_leaving: bool,
}

impl Upstream {
    /// Whether `other`, with the same id, is a different process, so that statistics collected for
    /// one do not apply to the other.
    #[must_use]
    pub fn is_restart_of(&self, other: &Self) -> bool {
        self.born_ms != other.born_ms || self.address != other.address
    }

    /// Whether this is the same process as `other`, and has said since that it leaves.
    #[must_use]
    pub fn leaves_after(&self, other: &Self) -> bool {
        self.is_leaving && !other.is_leaving && !other.is_restart_of(self)
    }

    /// Whether this is an earlier process than `other`, with the same id.
    #[must_use]
    pub fn is_former(&self, other: &Self) -> bool {
        self.born_ms < other.born_ms
    }
}
