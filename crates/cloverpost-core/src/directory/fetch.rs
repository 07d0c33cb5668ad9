//! Fetches a newer table from peers, piece by piece.
//!
//! One piece is requested at a time, from any peer that has the version, and from another one if
//! the response is slow. This spreads the load and limits the cost of a failed peer. A fetch that
//! was started is completed even if a newer version appears; otherwise frequent changes could
//! prevent any fetch from completing.
//!
//! A VM that has an earlier encoding of the table requests the [`Outline`] first, and then only
//! pieces with chunks that it lacks. Otherwise each change would transfer the whole table, and wait
//! for the transfers of those before it.

use std::collections::BTreeMap;
use std::fmt;
use std::marker::PhantomData;

use bytes::Bytes;
use rand::seq::IteratorRandom;

use crate::directory::{
    Assembly, Change, Encoded, Member, Outline, PendingRequest, Piece, Version, encoded,
};
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

/// A request for an outline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutlineRequest {
    /// The peer.
    pub holder: Member,
    /// The requested version.
    pub version: Version,
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
    /// The encoded rows.
    pub encoded: Encoded,
    /// Bytes that were taken from earlier encodings.
    pub reused: usize,
    /// When its first piece was received.
    pub since: time::Moment,
}

/// The pieces received so far of one version.
#[derive(Debug)]
struct Partial {
    version: Version,
    snapshot_version: Version,
    digest: u64,
    assembly: Assembly,
    reused: usize,
    since: time::Moment,
}

/// An earlier encoding of the table, from which unchanged chunks are taken.
#[derive(Debug)]
struct Base {
    version: Version,
    bytes: Bytes,
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
    base: Option<Base>,
    /// What was received of a version that the peers have replaced.
    leftover: Option<Assembly>,
    /// Whether a peer does not know outlines; tables are then fetched whole.
    is_outline_refused: bool,
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
            base: None,
            leftover: None,
            is_outline_refused: false,
            discarded: 0,
            rows: PhantomData,
        }
    }
}

impl<T> fmt::Display for Fetch<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (received, len) = match &self.partial {
            Some(Partial { assembly, .. }) => {
                let len = assembly.table_len();
                (len - assembly.missing_bytes(), len)
            }
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

    /// Whether an earlier encoding of this VM's own table, complete up to `own`, would save bytes.
    #[must_use]
    pub fn lacks_base(&self, own: Version) -> bool {
        let is_newer = |(_, version): &(Member, Version)| *version > own;
        let is_stale = self.base.as_ref().is_none_or(|base| base.version < own);
        own > Version::default() && is_stale && self.holders.values().any(is_newer)
    }

    /// Sets the encoding of this VM's own table.
    pub fn set_base(&mut self, own: &Encoded) {
        self.base = Some(Base {
            version: own.version,
            bytes: own.bytes.clone(),
        });
    }

    /// The next request for an outline, of a VM in `zone` whose own table is complete up to `own`;
    /// `None` while a response is pending or nothing newer is known, and if pieces can be requested
    /// at once.
    pub fn next_outline(
        &mut self,
        now: time::Moment,
        own: Version,
        zone: &id::AvailabilityZone,
        rng: &mut impl rand::Rng,
    ) -> Option<OutlineRequest> {
        let has_partial = self.partial.as_ref().is_some_and(|one| one.version > own);
        if has_partial || !self.uses_outlines() || !self.pending.may_send(now) {
            return None;
        }
        let version = self.newest(own)?;
        let holder = self.choose_holder(version, zone, rng)?;
        self.pending.start(holder.vm.clone(), now);
        Some(OutlineRequest { holder, version })
    }

    /// The next request for a piece, of a VM in `zone` whose own table is complete up to `own`;
    /// `None` while a response is pending or nothing newer is known. Prefers peers in the same
    /// zone.
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
        let newest = self.newest(own);
        self.partial = self.partial.take().filter(|partial| partial.version > own);
        let (version, offset) = match &self.partial {
            Some(partial) => (partial.version, partial.assembly.next_missing()?),
            None => (newest?, 0),
        };
        let holder = self.choose_holder(version, zone, rng)?;
        self.pending.start(holder.vm.clone(), now);
        Some(Request {
            holder,
            version,
            offset,
        })
    }

    /// The newest version of the peers, if it is newer than `own`. Forgets peers that have nothing
    /// newer.
    fn newest(&mut self, own: Version) -> Option<Version> {
        self.holders.retain(|_, (_, version)| *version > own);
        self.holders.values().map(|(_, version)| *version).max()
    }

    fn uses_outlines(&self) -> bool {
        self.base.is_some() && !self.is_outline_refused
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

    /// Processes an outline, and returns the table if no chunk of it is missing.
    pub fn receive_outline(
        &mut self,
        from: &id::Vm,
        outline: &Outline,
        now: time::Moment,
    ) -> Option<Fetched<T>> {
        self.pending.finish(from);
        let Some(len) = outline.table_len().filter(|len| *len > 0) else {
            self.holders.remove(from);
            return None;
        };
        self.record_version(from, outline.version);
        if self.partial.is_some() {
            // A late response; another peer was asked meanwhile.
            return None;
        }
        let leftover = self.leftover.take();
        let base = self.base.iter().map(|base| &base.bytes[..]);
        let sources = base.chain(leftover.iter().flat_map(Assembly::present));
        let assembly = Assembly::from_sources(outline, len, sources);
        self.partial = Some(Partial {
            version: outline.version,
            snapshot_version: outline.snapshot_version,
            digest: outline.digest,
            reused: len - assembly.missing_bytes(),
            assembly,
            since: now,
        });
        self.complete(from)
    }

    /// Records that `from` does not know outlines.
    pub fn refuse_outline(&mut self, from: &id::Vm) {
        self.pending.finish(from);
        self.is_outline_refused = true;
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
        self.record_version(from, piece.version);
        if !self.insert(from, piece, now) {
            return None;
        }
        self.complete(from)
    }

    fn record_version(&mut self, from: &id::Vm, received: Version) {
        if let Some((_, version)) = self.holders.get_mut(from) {
            *version = received.max(*version);
        }
    }

    /// Returns the table if no byte of it is missing.
    fn complete(&mut self, from: &id::Vm) -> Option<Fetched<T>> {
        let complete = self
            .partial
            .take_if(|one| one.assembly.next_missing().is_none())?;
        self.preferred = None;
        self.is_outline_refused = false;
        let bytes = Bytes::from(complete.assembly.into_bytes());
        let Some(rows) = encoded::decode(&bytes, complete.digest) else {
            self.holders.remove(from);
            // Equal digests of different chunks would fail again.
            self.is_outline_refused = true;
            return None;
        };
        let encoded = Encoded {
            version: complete.version,
            snapshot_version: complete.snapshot_version,
            digest: complete.digest,
            bytes,
        };
        self.set_base(&encoded);
        Some(Fetched {
            version: complete.version,
            snapshot_version: complete.snapshot_version,
            rows,
            encoded,
            reused: complete.reused,
            since: complete.since,
        })
    }

    /// Inserts `piece` into those received, and returns whether it was missing.
    fn insert(&mut self, from: &id::Vm, piece: &Piece, now: time::Moment) -> bool {
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
            self.preferred = Some(from.clone());
            let received = discarded.assembly.table_len() - discarded.assembly.missing_bytes();
            self.discarded += received - discarded.reused;
            self.leftover = Some(discarded.assembly);
            if piece.offset > 0 || self.uses_outlines() {
                return false;
            }
        }
        let partial = self.partial.get_or_insert_with(|| Partial {
            version: piece.version,
            snapshot_version: piece.snapshot_version,
            digest: piece.digest,
            assembly: Assembly::new(piece.len),
            reused: 0,
            since: now,
        });
        partial.assembly.insert(piece.offset, &piece.bytes)
    }

    /// Records that `from` did not answer. It is not asked again until it announces a version.
    pub fn fail(&mut self, from: &id::Vm) {
        self.pending.finish(from);
        self.holders.remove(from);
        self.preferred.take_if(|preferred| preferred == from);
    }
}
