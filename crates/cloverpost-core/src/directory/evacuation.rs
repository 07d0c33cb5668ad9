//! Availability zones that are to be empty.

use crate::id;

/// An operator's order that the upstreams of an availability zone get no new work. It holds for
/// as long as its row stands.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Evacuation {
    /// The zone.
    pub zone: id::AvailabilityZone,
}
