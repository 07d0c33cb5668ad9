//! Fetches a newer table from peers, piece by piece.
//!
//! One piece is asked for at a time, each of any peer that has the version, and of another one
//! if that takes long: several share the work, and a dead one costs little. A version that was begun is seen through
//! although a newer one is known, or changes that come faster than they can be fetched would
//! leave a VM on the old one for as long as they last.

use std::collections::BTreeMap;
use std::marker::PhantomData;

use rand::seq::IteratorRandom;

use crate::directory::{Asked, Change, Member, Piece, Version, encoded};
use crate::{id, time};

/// What a peer is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// The peer.
    pub holder: Member,
    /// The version that is wanted.
    pub version: Version,
    /// Where the piece begins.
    pub offset: usize,
}

/// A table that has come whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Fetched<T> {
    /// Version of its newest row.
    pub version: Version,
    /// Version as of which the rows are the whole table.
    pub whole_as_of: Version,
    /// Its rows.
    pub rows: Vec<Change<T>>,
    /// When its first piece came.
    pub since: time::Moment,
}

/// The pieces of one version that have come.
#[derive(Debug)]
struct Partial {
    version: Version,
    whole_as_of: Version,
    digest: u64,
    len: usize,
    bytes: Vec<u8>,
    since: time::Moment,
}

/// What is known of newer versions of a table, and what has come of one.
#[derive(Debug)]
pub struct Fetch<T> {
    /// Peers, each with the newest version that it said it has.
    holders: BTreeMap<id::Vm, (Member, Version)>,
    partial: Option<Partial>,
    asked: Asked,
    /// The one peer that is asked, once two were seen to hold different rows.
    only: Option<id::Vm>,
    rows: PhantomData<fn() -> T>,
}

impl<T> Default for Fetch<T> {
    fn default() -> Self {
        Self {
            holders: BTreeMap::new(),
            partial: None,
            asked: Asked::default(),
            only: None,
            rows: PhantomData,
        }
    }
}

impl<T: serde::de::DeserializeOwned> Fetch<T> {
    /// Notes that `holder` has `version`.
    pub fn hear(&mut self, holder: Member, version: Version) {
        self.holders.insert(holder.vm.clone(), (holder, version));
    }

    /// What to ask for now, by a VM in `zone` whose own configuration is whole as of `own`;
    /// none while an answer is awaited. Peers in the same zone come first.
    pub fn next(
        &mut self,
        now: time::Moment,
        own: Version,
        zone: &id::AvailabilityZone,
        rng: &mut impl rand::Rng,
    ) -> Option<Question> {
        if !self.asked.may_ask(now) {
            return None;
        }
        self.holders.retain(|_, (_, version)| *version > own);
        self.partial = self.partial.take().filter(|partial| partial.version > own);
        let wanted = match &self.partial {
            Some(partial) => partial.version,
            None => self.holders.values().map(|(_, version)| *version).max()?,
        };
        let holder = self.holder(wanted, zone, rng)?;
        self.asked.put(holder.vm.clone(), now);
        Some(Question {
            holder,
            version: wanted,
            offset: self.partial.as_ref().map_or(0, |one| one.bytes.len()),
        })
    }

    fn holder(
        &self,
        wanted: Version,
        zone: &id::AvailabilityZone,
        rng: &mut impl rand::Rng,
    ) -> Option<Member> {
        let having = || {
            let holders = self.holders.values();
            let prompt = holders.filter(|(holder, _)| !self.asked.is_awaited(&holder.vm));
            prompt.filter(move |(_, version)| *version >= wanted)
        };
        let only = self.only.as_ref();
        let only = having().find(|(holder, _)| Some(&holder.vm) == only);
        let near = having().filter(|(holder, _)| holder.zone == *zone);
        let chosen = only
            .or_else(|| near.choose(rng))
            .or_else(|| having().choose(rng));
        chosen.map(|(holder, _)| holder.clone())
    }

    /// Takes a piece in; the table, once it is whole.
    pub fn take(&mut self, from: &id::Vm, piece: &Piece, now: time::Moment) -> Option<Fetched<T>> {
        self.asked.end(from);
        if piece.len > encoded::LARGEST || piece.bytes.is_empty() {
            self.holders.remove(from);
            return None;
        }
        if let Some((_, version)) = self.holders.get_mut(from) {
            *version = piece.version.max(*version);
        }
        if !self.join(from, piece, now) {
            return None;
        }
        let whole = self.partial.take_if(|one| one.bytes.len() >= one.len)?;
        self.only = None;
        let rows = encoded::decode(&whole.bytes, whole.digest);
        if rows.is_none() {
            self.holders.remove(from);
        }
        Some(Fetched {
            version: whole.version,
            whole_as_of: whole.whole_as_of,
            rows: rows?,
            since: whole.since,
        })
    }

    /// Joins `piece` to what has come; whether it belongs there.
    fn join(&mut self, from: &id::Vm, piece: &Piece, now: time::Moment) -> bool {
        let begun = self.partial.as_ref().map(|partial| partial.version);
        if begun > Some(piece.version) {
            // The late answer of a peer that was asked for an earlier version.
            return false;
        }
        let is_same = |partial: &mut Partial| {
            partial.version == piece.version && partial.digest == piece.digest
        };
        // Pieces of two versions, or of two encodings of one, make no table. While upstreams
        // leave, peers hold the same newest row and different ones besides; asked in turn, they
        // would make each other's pieces useless.
        if self.partial.take_if(|partial| !is_same(partial)).is_some() {
            self.only = Some(from.clone());
            if piece.offset > 0 {
                return false;
            }
        }
        let partial = self.partial.get_or_insert_with(|| Partial {
            version: piece.version,
            whole_as_of: piece.whole_as_of,
            digest: piece.digest,
            len: piece.len,
            bytes: Vec::with_capacity(piece.len),
            since: now,
        });
        // It has come already, from a peer that was asked as well.
        if piece.offset != partial.bytes.len() {
            return false;
        }
        partial.bytes.extend_from_slice(&piece.bytes);
        true
    }

    /// Notes that `from` did not answer. It is not asked again until it is heard of.
    pub fn fail(&mut self, from: &id::Vm) {
        self.asked.end(from);
        self.holders.remove(from);
        self.only.take_if(|only| only == from);
    }
}
