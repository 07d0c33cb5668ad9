//! Messages between VMs about membership.

use crate::id;
use crate::membership::{Digest, Member};

/// A heartbeat, a request for one, or an exchange of all records.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Checks whether `target` is alive; answered with [`Message::Ack`].
    Ping {
        /// The VM to check; a replacement at its address does not answer.
        target: id::Vm,
        /// Sender's own record, digest and recent changes.
        news: News,
    },
    /// Requests that the receiver ping `target`; answered with the target's ack.
    Relay {
        /// The VM to ping.
        target: Member,
        /// Sender's own record, digest and recent changes.
        news: News,
    },
    /// Response to a ping.
    Ack {
        /// Record, digest and recent changes of the VM that was pinged.
        news: News,
    },
    /// Recent changes, outside a ping.
    Gossip {
        /// Sender's own record, digest and recent changes.
        news: News,
    },
    /// Offers all records; answered with [`Message::Members`].
    Sync {
        /// All records of the sender, itself included.
        members: Vec<Member>,
    },
    /// Response to [`Message::Sync`].
    Members {
        /// All records, the sender's included.
        members: Vec<Member>,
    },
}

/// Membership data that is piggybacked on every heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct News {
    /// The sender's own record.
    pub sender: Member,
    /// Digest of the sender's records.
    pub digest: Digest,
    /// Recent changes.
    pub changes: Vec<Member>,
}
