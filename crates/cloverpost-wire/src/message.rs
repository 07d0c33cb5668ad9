//! Messages between VMs.

use cloverpost_core::{
    balance, billing, directory, evidence, exposure, fragile, membership, poison, pushback,
    rollout, spread, throttle,
};

use crate::hello;

/// A message between two VMs, by subsystem.
///
/// Append new variants at the end: the index of a variant is its discriminant on the wire.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Handshake of a link.
    Hello(hello::Message),
    /// Heartbeats and membership updates.
    Membership(membership::Message),
    /// Dissemination and acknowledgement of the catalogue.
    Spread(spread::Message),
    /// Replication of usage records.
    Billing(billing::Message),
    /// Facts about requests that crash upstreams.
    Poison(Vec<poison::Fact>),
    /// Counts of the ratings received by a process.
    Evidence(evidence::Digest),
    /// Versions whose rollout was halted.
    Halts(Vec<rollout::Halt>),
    /// Replication of the tables in the store.
    Directory(directory::Message),
    /// Evidence and sessions of rollouts.
    Exposure(exposure::Message),
    /// Load reports of upstreams.
    Balance(balance::Message),
    /// Rate limits that upstreams state.
    Throttle(Vec<throttle::Notice>),
    /// First frame of a tunnel to an upstream.
    Tunnel(directory::Tunnel),
    /// Rejections of fragile upstreams.
    Fragile(Vec<fragile::Notice>),
    /// What an upstream asked for behind a tunnel.
    Pushback(pushback::Notice),
}

impl Message {
    /// Name of the kind of message, for metrics.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Membership(_) => "membership",
            Self::Spread(_) => "catalogue",
            Self::Billing(_) => "billing",
            Self::Poison(_) => "crashes",
            Self::Evidence(_) => "ratings",
            Self::Halts(_) => "halts",
            Self::Directory(directory::Message::Fresh(_)) => "heartbeat",
            Self::Directory(_) => "tables",
            Self::Exposure(_) => "rollouts",
            Self::Balance(_) => "loads",
            Self::Throttle(_) => "rate_limits",
            Self::Tunnel(_) => "tunnels",
            Self::Fragile(_) => "rejections",
            Self::Pushback(_) => "pushback",
        }
    }
}
