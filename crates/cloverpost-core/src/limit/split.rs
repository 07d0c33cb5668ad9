//! A VM's view of a split limit.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::evidence;
use crate::limit::entitlements::{entitlements, transfers};
use crate::limit::{Generation, Options, Row};
use crate::time;

/// A limit split among VMs, as seen by one of them.
///
/// Members are processes rather than VMs: a restarted process has lost its transfers, so
/// it joins as a new member and starts a new generation.
#[derive(Clone, Debug)]
pub struct Split {
    own: evidence::Source,
    limit: u64,
    options: Options,
    row: Row,
    peers: BTreeMap<evidence::Source, Row>,
    /// Share in the previous generation, which caps the share until `raise_at`.
    previous_share: u64,
    raise_at: time::Moment,
}

impl Split {
    /// Creates a split of `limit` units among the processes `members`.
    ///
    /// The share is zero during the first raise delay, because others may still use all of the
    /// limit.
    #[must_use]
    pub fn new(
        own: evidence::Source,
        limit: u64,
        members: &[evidence::Source],
        options: Options,
        now: time::Moment,
    ) -> Self {
        let mut split = Self {
            own,
            limit,
            options,
            row: Row::new(Generation::default(), Arc::new([]), 0),
            peers: BTreeMap::new(),
            previous_share: 0,
            raise_at: now,
        };
        split.set_members(members, now);
        split
    }

    /// Returns the units that this VM may use at `now`.
    #[must_use]
    pub fn share(&self, now: time::Moment) -> u64 {
        let held_units = self.index().map_or(0, |index| self.held()[index]);
        if now < self.raise_at {
            held_units.min(self.previous_share)
        } else {
            held_units
        }
    }

    /// Returns the row of this VM, to be sent to its peers.
    #[must_use]
    pub const fn row(&self) -> &Row {
        &self.row
    }

    /// Sets the members, and starts a new generation if they changed.
    pub fn set_members(&mut self, members: &[evidence::Source], now: time::Moment) {
        let mut members = members.to_vec();
        members.sort();
        members.dedup();
        if *self.row.members != *members {
            let generation = self.row.generation.next(&members);
            self.begin(generation, members.into(), now);
        }
    }

    /// Merges the row of a peer; stale rows are ignored.
    pub fn merge(&mut self, peer: &evidence::Source, row: &Row, now: time::Moment) {
        if *peer == self.own {
            return;
        }
        if row.generation > self.row.generation {
            self.begin(row.generation, Arc::clone(&row.members), now);
        }
        let known = self.peers.get(peer);
        if known.is_none_or(|known| row.is_newer(known)) {
            self.peers.insert(peer.clone(), row.clone());
        }
    }

    /// Sets the demand of this VM and transfers its surplus.
    pub fn balance(&mut self, demand: u64, now: time::Moment) {
        if demand != self.row.demand {
            self.row.demand = demand;
            self.row.revision += 1;
        }
        if now < self.raise_at {
            return;
        }
        for (index, units) in self.transfers().into_iter().enumerate() {
            if units > 0 {
                self.row.transfer(index, units);
                self.row.revision += 1;
            }
        }
    }

    /// Starts `generation`. Lower shares take effect at once, higher ones after the
    /// raise delay.
    fn begin(
        &mut self,
        generation: Generation,
        members: Arc<[evidence::Source]>,
        now: time::Moment,
    ) {
        self.previous_share = self.share(now);
        self.raise_at = now + self.options.raise_delay;
        self.row = Row::new(generation, members, self.row.demand);
        self.peers.retain(|_, row| row.generation >= generation);
    }

    /// Returns the index of this VM among the members.
    fn index(&self) -> Option<usize> {
        self.row.members.binary_search(&self.own).ok()
    }

    /// Returns the rows of the current generation with the indices of their members.
    fn rows(&self) -> impl Iterator<Item = (usize, &Row)> {
        let members = &self.row.members;
        let own = self.index().map(|index| (index, &self.row));
        let is_current = |row: &Row| row.generation == self.row.generation;
        let peers = self.peers.iter().filter(move |(_, row)| is_current(row));
        let indexed = peers.filter_map(|(peer, row)| {
            let index = members.binary_search(peer).ok()?;
            Some((index, row))
        });
        own.into_iter().chain(indexed)
    }

    /// Returns the units of each member, as far as this VM knows.
    ///
    /// A transfer whose row has not arrived is missing, so the sum never exceeds the
    /// limit.
    fn held(&self) -> Vec<u64> {
        let mut held = self.initial_shares();
        for (_, row) in self.rows() {
            for (index, units) in held.iter_mut().enumerate() {
                *units += row.transferred_to(index);
            }
        }
        for (index, row) in self.rows() {
            held[index] = held[index].saturating_sub(row.total_transferred());
        }
        held
    }

    /// Returns the units of each member at the start of the generation; they sum to the
    /// limit.
    fn initial_shares(&self) -> Vec<u64> {
        let count = u64::try_from(self.row.members.len()).unwrap_or(u64::MAX);
        let each = self.limit / count.max(1);
        let rest = self.limit % count.max(1);
        let share = |index| each + u64::from(index < rest);
        (0..count).map(share).collect()
    }

    fn transfers(&self) -> Vec<u64> {
        let Some(own) = self.index() else {
            return Vec::new();
        };
        let mut demands = vec![0; self.row.members.len()];
        for (index, row) in self.rows() {
            demands[index] = row.demand;
        }
        let entitlements = entitlements(self.limit, &demands, self.options.even_fraction);
        transfers(
            own,
            &self.held(),
            &entitlements,
            self.options.min_transfer_fraction,
        )
    }
}
