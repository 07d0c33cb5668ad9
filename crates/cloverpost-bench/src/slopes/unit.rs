//! Units whose number drives the cost.

use std::fmt;

/// A unit whose number drives the cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// A VM of the fleet.
    Member,
    /// An upstream.
    Replica,
    /// An entry of the catalogue.
    Entry,
    /// An organisation of the catalogue.
    Organisation,
    /// An edit of the catalogue.
    Edit,
    /// A digest exchange between two VMs.
    Digest,
    /// A heartbeat and its acknowledgement.
    Heartbeat,
    /// A message over a link between VMs.
    Message,
    /// A link between two VMs.
    Link,
    /// A lease in the store.
    Lease,
    /// A claim of an idempotency key.
    Claim,
    /// A usage record.
    Record,
    /// A replica of a usage record at a peer.
    Copy,
    /// A session.
    Session,
    /// A fact about a request that crashes upstreams.
    Quarantine,
    /// A rate limit of an organisation, divided among the VMs.
    Limit,
    /// Rating counts of an entry for an organisation, from one VM.
    Evidence,
}

impl Unit {
    /// Every unit.
    pub const ALL: &[Self] = &[
        Self::Member,
        Self::Replica,
        Self::Entry,
        Self::Organisation,
        Self::Edit,
        Self::Digest,
        Self::Heartbeat,
        Self::Message,
        Self::Link,
        Self::Lease,
        Self::Claim,
        Self::Record,
        Self::Copy,
        Self::Session,
        Self::Quarantine,
        Self::Limit,
        Self::Evidence,
    ];
}

impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Member => "member",
            Self::Replica => "replica",
            Self::Entry => "entry",
            Self::Organisation => "organisation",
            Self::Edit => "edit",
            Self::Digest => "digest",
            Self::Heartbeat => "heartbeat",
            Self::Message => "message",
            Self::Link => "link",
            Self::Lease => "lease",
            Self::Claim => "claim",
            Self::Record => "record",
            Self::Copy => "copy",
            Self::Session => "session",
            Self::Quarantine => "quarantine",
            Self::Limit => "limit",
            Self::Evidence => "evidence",
        })
    }
}
