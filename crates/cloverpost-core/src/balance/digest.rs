//! What VMs of a zone tell each other of their upstreams' loads.

use crate::id;

/// Loads of upstreams; those without load are left out.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Digest {
    /// One row an upstream.
    pub rows: Vec<Row>,
}

/// Load of one upstream.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Seconds of work whose answers have not begun.
    pub pending: f32,
    /// Requests that run there.
    pub in_flight: u32,
}

/// A message between two VMs.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// The sender's own requests.
    Own(Digest),
    /// Those of all VMs that told the sender, the receiver's included.
    Total(Digest),
}
