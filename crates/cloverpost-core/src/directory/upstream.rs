//! Upstreams, as they register themselves.

use std::net::SocketAddr;

use crate::id;

/// One incarnation of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Upstream {
    /// Its incarnation.
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
    /// Whether it is about to leave and takes no new work.
    pub is_leaving: bool,
}
