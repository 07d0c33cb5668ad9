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

impl Digest {
    /// A row whose speed samples are impossible, if any.
    #[must_use]
    pub fn impossible(&self) -> Option<&Row> {
        let is_possible = |row: &&Row| row.ratios.is_none_or(Ratios::is_possible);
        self.rows.iter().find(|row| !is_possible(row))
    }
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
