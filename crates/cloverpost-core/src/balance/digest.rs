//! Upstream load messages exchanged by the VMs of an availability zone.

use crate::balance::Ratios;
use crate::id;

/// Upstream loads. Idle upstreams without recent speed samples are omitted.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Digest {
    /// One row per upstream.
    pub rows: Vec<Row>,
}

/// Load of one upstream.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Estimated seconds of prompt processing for requests still awaiting a response.
    pub pending: f32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Speed samples of the last seconds, if VMs learn speeds.
    pub ratios: Option<Ratios>,
}

/// A load message between two VMs.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Load caused by the sender's own requests.
    Own(Digest),
    /// Load summed over all reporting VMs, including the receiver.
    Total(Digest),
}
