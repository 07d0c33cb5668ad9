//! Record of a peer.

use crate::membership::{Member, digest};
use crate::time;

/// Record of a peer.
#[derive(Clone, Debug)]
pub struct Record {
    /// The newest record received.
    pub member: Member,
    /// When the record was received.
    pub since: time::Moment,
    /// Hash of its name, used to choose neighbours.
    pub hash: u64,
}

impl Record {
    /// A record of `member` received at `now`.
    pub fn new(member: Member, now: time::Moment) -> Self {
        Self {
            hash: digest::hash(member.vm.as_str()),
            since: now,
            member,
        }
    }
}
