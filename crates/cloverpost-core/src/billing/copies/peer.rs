//! A peer as a holder of copies.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::billing::{Copied, Run, Sequence, Stream};
use crate::id;
use crate::time;

/// A peer as a holder of copies.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// Its availability zone.
    pub zone: id::AvailabilityZone,
    /// Its rendezvous hash; lower ranks are preferred.
    pub rank: u64,
    /// Stream of copies to it.
    pub stream: Stream,
    /// Run of its process, once known.
    pub run: Option<Run>,
    /// Whether it is selected as a holder and sent new records.
    pub chosen: bool,
    /// It has acknowledged every pending record before this one.
    pub acked: Sequence,
    /// Every pending record before this one was sent to it.
    pub sent: Sequence,
    /// Since when an acknowledgement is awaited.
    pub awaiting_ack_since: Option<time::Moment>,
    /// Consecutive timeouts.
    pub misses: u32,
    /// Until when it is excluded from selection.
    pub excluded_until: time::Moment,
}

/// The rendezvous hash of `holder` for `vm`.
pub(super) fn rank(vm: &id::Vm, holder: &id::Vm) -> u64 {
    let mut hasher = DefaultHasher::new();
    (vm, holder).hash(&mut hasher);
    hasher.finish()
}

impl Peer {
    /// Creates a peer without copies.
    pub fn new(zone: id::AvailabilityZone, rank: u64, stream: Stream) -> Self {
        Self {
            zone,
            rank,
            stream,
            run: None,
            chosen: false,
            acked: Sequence::default(),
            sent: Sequence::default(),
            awaiting_ack_since: None,
            misses: 0,
            excluded_until: time::Moment::default(),
        }
    }

    /// Handles a restart, which loses all copies.
    pub fn restarted(&mut self, stream: Stream) {
        self.stream = stream;
        self.run = None;
        self.acked = Sequence::default();
        self.sent = Sequence::default();
        self.awaiting_ack_since = None;
    }

    /// Handles an acknowledgement.
    pub fn acknowledged(&mut self, copied: &Copied, now: time::Moment) {
        self.run = Some(copied.holder);
        let progress = copied.until > self.acked;
        self.acked = self.acked.max(copied.until);
        self.sent = self.sent.max(self.acked);
        if progress {
            self.misses = 0;
            self.awaiting_ack_since = (self.acked < self.sent).then_some(now);
        }
    }

    /// Excludes it from selection until `until`.
    pub fn exclude(&mut self, until: time::Moment) {
        self.excluded_until = until;
        self.chosen = false;
        self.misses = 0;
        self.awaiting_ack_since = None;
        self.sent = self.acked;
    }
}
