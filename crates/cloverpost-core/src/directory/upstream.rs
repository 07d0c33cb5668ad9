//! Upstreams, as they register themselves.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id;

/// An upstream as its entry describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Upstream {
    /// Its id.
    pub id: id::Upstream,
    /// Service that it belongs to.
    pub service: id::Pool,
    /// Where it listens; another incarnation may get the address later.
    pub address: SocketAddr,
    /// Availability zone that it stands in.
    pub zone: id::AvailabilityZone,
    /// Version of its software.
    pub version: id::Version,
    /// Requests that it works on at once.
    pub slots: u32,
    /// When its process started, in milliseconds of the upstream's clock; `None` where
    /// upstreams don't say. One that starts again under its id has another start.
    pub born_ms: Option<u64>,
    /// Time for which it was still cold as it registered or last said so. A cold upstream bears
    /// little and falls over above that.
    pub cold: Duration,
    /// Whether it is about to leave and takes no new work.
    pub is_leaving: bool,
}

impl Upstream {
    /// Whether `other`, with the same id, is another process: nothing that was learnt of
    /// one holds for the other.
    #[must_use]
    pub fn is_restart_of(&self, other: &Self) -> bool {
        self.born_ms != other.born_ms || self.address != other.address
    }
}
