//! Evacuation of availability zones.

use crate::id;

/// An operator's order that the upstreams of an availability zone receive no new work. It is in
/// force as long as its row exists.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Evacuation {
    /// The zone.
    pub zone: id::AvailabilityZone,
}
