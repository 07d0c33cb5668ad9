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

    /// This upstream, whose row was read after `known`. A process that leaves does not come back:
    /// a row that says otherwise is older.
    #[must_use]
    pub fn after(self, known: &Self) -> Self {
        let is_leaving = self.is_leaving || known.is_leaving && !self.is_restart_of(known);
        Self { is_leaving, ..self }
    }

    /// Whether this is an earlier process than `other`, with the same id.
    #[must_use]
    pub fn is_former(&self, other: &Self) -> bool {
        self.born_ms < other.born_ms
    }
}
