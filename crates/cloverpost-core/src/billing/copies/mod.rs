//! Copies of a VM's own records in the memory of peers.
//!
//! A VM selects two holders, if possible in availability zones other than its own
//! and each other's. The selection uses rendezvous hashing, so it changes only when
//! a peer joins, leaves or fails, and the load is spread over all peers.
//!
//! A holder that refuses or does not acknowledge is excluded for a time, and the
//! next in rank is sent all pending records. Copies on the excluded holder still
//! count, since it also bills them if the VM dies.

mod peer;
mod select;
mod send;

use peer::Peer;

use std::collections::BTreeMap;

use crate::billing::{Copied, Options, Sequence, Source, Stream};
use crate::id;
use crate::time;

/// Copies of a VM's own records in the memory of peers.
#[derive(Clone, Debug)]
pub struct Copies {
    source: Source,
    zone: id::AvailabilityZone,
    options: Options,
    peers: BTreeMap<id::Vm, Peer>,
    /// When holders are selected again; `None` if no selection is due.
    reselect_at: Option<time::Moment>,
    next_stream: Stream,
}

impl Copies {
    /// Creates the state for the records of `source`, a VM in `zone`.
    #[must_use]
    pub fn new(source: Source, zone: id::AvailabilityZone, options: Options) -> Self {
        Self {
            source,
            zone,
            options,
            peers: BTreeMap::new(),
            reselect_at: None,
            next_stream: Stream::default(),
        }
    }

    /// Handles that `vm` in `zone` has joined.
    pub fn joined(&mut self, vm: id::Vm, zone: id::AvailabilityZone) {
        if vm == self.source.vm || self.peers.contains_key(&vm) {
            return;
        }
        let rank = peer::rank(&self.source.vm, &vm);
        let stream = self.open_stream();
        self.peers.insert(vm, Peer::new(zone, rank, stream));
        self.reselect_at = Some(time::Moment::default());
    }

    /// Handles that `vm` has left or died. Its copies no longer count.
    pub fn left(&mut self, vm: &id::Vm) {
        self.peers.remove(vm);
        self.reselect_at = Some(time::Moment::default());
    }

    /// Handles an acknowledgement or refusal of `from`.
    pub fn copied(&mut self, from: &id::Vm, copied: &Copied, now: time::Moment) {
        let stream = self.open_stream();
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        if copied.source != self.source || copied.stream != peer.stream {
            return;
        }
        if peer.run.is_some_and(|run| run != copied.holder) {
            peer.restarted(stream);
        } else {
            peer.acknowledged(copied, now);
        }
        if copied.refused {
            peer.exclude(now + self.options.exclusion_time);
            self.reselect_at = Some(now);
        }
    }

    fn open_stream(&mut self) -> Stream {
        self.next_stream = self.next_stream.next();
        self.next_stream
    }

    /// Number of peers that hold the record at `sequence`.
    #[must_use]
    pub fn copy_count(&self, sequence: Sequence) -> usize {
        let holds = |peer: &&Peer| peer.acked > sequence;
        self.peers.values().filter(holds).count()
    }

    /// Number of peers that should hold a record; lower if there are fewer peers.
    #[must_use]
    pub fn target_copies(&self) -> usize {
        self.options.copies.min(self.peers.len())
    }
}
