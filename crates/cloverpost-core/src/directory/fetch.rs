//! Fetches a newer table from peers, piece by piece.
//!
//! One piece is requested at a time, from any peer that has the version, and from another one if
//! the response is slow. This spreads the load and limits the cost of a failed peer. A fetch that
//! was started is completed even if a newer version appears; otherwise frequent changes could
//! prevent any fetch from completing.

use std::collections::BTreeMap;
use std::fmt;
use std::marker::PhantomData;

use rand::seq::IteratorRandom;

use crate::directory::{Change, Member, PendingRequest, Piece, Version, encoded};
use crate::{id, time};

/// A request for a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The peer.
    pub holder: Member,
    /// The requested version.
    pub version: Version,
    /// Offset of the piece, in bytes.
    pub offset: usize,
}

/// A table that was received completely.
#[derive(Clone, Debug, PartialEq)]
pub struct Fetched<T> {
    /// Version of its newest row.
    pub version: Version,
    /// Version at which the table consists of exactly these rows.
    pub snapshot_version: Version,
    /// Its rows.
    pub rows: Vec<Change<T>>,
    /// When its first piece was received.
    pub since: time::Moment,
}

/// The pieces received so far of one version.
#[derive(Debug)]
struct Partial {
    version: Version,
    snapshot_version: Version,
    digest: u64,
    len: usize,
    bytes: Vec<u8>,
    since: time::Moment,
}

/// State of fetching a table: the peers that hold newer versions, and the pieces received.
#[derive(Debug)]
pub struct Fetch<T> {
    /// Peers and the newest version that each one announced.
    holders: BTreeMap<id::Vm, (Member, Version)>,
    partial: Option<Partial>,
    pending: PendingRequest,
    /// The preferred peer, set once peers were found to hold different rows for one version.
    preferred: Option<id::Vm>,
    /// Bytes that were received and discarded.
    discarded: usize,
    rows: PhantomData<fn() -> T>,
}

impl<T> Default for Fetch<T> {
    fn default() -> Self {
        Self {
            holders: BTreeMap::new(),
            partial: None,
            pending: PendingRequest::default(),
            preferred: None,
            discarded: 0,
            rows: PhantomData,
        }
    }
}

impl<T> fmt::Display for Fetch<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (received, len) = match &self.partial {
            Some(partial) => (partial.bytes.len(), partial.len),
            None => (0, 0),
        };
        let (holders, discarded) = (self.holders.len(), self.discarded);
        write!(
            f,
            "{received} of {len} bytes, {discarded} discarded, {holders} peers"
        )
    }
}

impl<T: serde::de::DeserializeOwned> Fetch<T> {
    /// Records that `holder` has `version`.
    pub fn add_holder(&mut self, holder: Member, version: Version) {
        self.holders.insert(holder.vm.clone(), (holder, version));
    }

    /// The next request of a VM in `zone` whose own table is complete up to `own`; `None` while a
    /// response is pending or nothing newer is known. Prefers peers in the same zone.
    pub fn next(
        &mut self,
        now: time::Moment,
        own: Version,
        zone: &id::AvailabilityZone,
        rng: &mut impl rand::Rng,
    ) -> Option<Request> {
        if !self.pending.may_send(now) {
            return None;
        }
        self.holders.retain(|_, (_, version)| *version > own);
        self.partial = self.partial.take().filter(|partial| partial.version > own);
        let wanted = match &self.partial {
            Some(partial) => partial.version,
            None => self.holders.values().map(|(_, version)| *version).max()?,
        };
        let holder = self.choose_holder(wanted, zone, rng)?;
        self.pending.start(holder.vm.clone(), now);
        Some(Request {
            holder,
            version: wanted,
            offset: self.partial.as_ref().map_or(0, |one| one.bytes.len()),
        })
    }

    fn choose_holder(
        &self,
        wanted: Version,
        zone: &id::AvailabilityZone,
        rng: &mut impl rand::Rng,
    ) -> Option<Member> {
        let candidates = || {
            let holders = self.holders.values();
            let idle = holders.filter(|(holder, _)| !self.pending.is_pending(&holder.vm));
            idle.filter(move |(_, version)| *version >= wanted)
        };
        let preferred_vm = self.preferred.as_ref();
        let preferred = candidates().find(|(holder, _)| Some(&holder.vm) == preferred_vm);
        let near = candidates().filter(|(holder, _)| holder.zone == *zone);
        let chosen = preferred
            .or_else(|| near.choose(rng))
            .or_else(|| candidates().choose(rng));
        chosen.map(|(holder, _)| holder.clone())
    }

    /// Processes a piece, and returns the table once it is complete.
    pub fn receive(
        &mut self,
        from: &id::Vm,
        piece: &Piece,
        now: time::Moment,
    ) -> Option<Fetched<T>> {
        self.pending.finish(from);
        if piece.len > encoded::MAX_TABLE_BYTES || piece.bytes.is_empty() {
            self.holders.remove(from);
            return None;
        }
        if let Some((_, version)) = self.holders.get_mut(from) {
            *version = piece.version.max(*version);
        }
        if !self.append(from, piece, now) {
            return None;
        }
        let complete = self.partial.take_if(|one| one.bytes.len() >= one.len)?;
        self.preferred = None;
        let rows = encoded::decode(&complete.bytes, complete.digest);
        if rows.is_none() {
            self.holders.remove(from);
        }
        Some(Fetched {
            version: complete.version,
            snapshot_version: complete.snapshot_version,
            rows: rows?,
            since: complete.since,
        })
    }

    /// Appends `piece` to the pieces received, and returns whether it was appended.
    fn append(&mut self, from: &id::Vm, piece: &Piece, now: time::Moment) -> bool {
        let current = self.partial.as_ref().map(|partial| partial.version);
        if current > Some(piece.version) {
            // A late response to a request for an earlier version.
            return false;
        }
        let is_same = |partial: &mut Partial| {
            partial.version == piece.version && partial.digest == piece.digest
        };
        // Pieces of different versions or encodings cannot be combined. While upstreams leave,
        // peers may have the same newest row but otherwise different rows; alternating between
        // such peers would discard every piece, so one is preferred from now on.
        if let Some(discarded) = self.partial.take_if(|partial| !is_same(partial)) {
            self.discarded += discarded.bytes.len();
            self.preferred = Some(from.clone());
            if piece.offset > 0 {
                return false;
            }
        }
        let partial = self.partial.get_or_insert_with(|| Partial {
            version: piece.version,
            snapshot_version: piece.snapshot_version,
            digest: piece.digest,
            len: piece.len,
            bytes: Vec::with_capacity(piece.len),
            since: now,
        });
        // Duplicate: the piece was already received from another peer.
        if piece.offset != partial.bytes.len() {
            return false;
        }
        partial.bytes.extend_from_slice(&piece.bytes);
        true
    }

    /// Records that `from` did not answer. It is not asked again until it announces a version.
    pub fn fail(&mut self, from: &id::Vm) {
        self.pending.finish(from);
        self.holders.remove(from);
        self.preferred.take_if(|preferred| preferred == from);
    }
}
