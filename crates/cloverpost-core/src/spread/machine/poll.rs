//! Polls the store.

use crate::spread::machine::query;
use crate::spread::{Action, Machine};
use crate::time;

impl Machine {
    /// Polls the store if needed and schedules the next check.
    pub(super) fn poll(
        &mut self,
        now: time::Moment,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<Action>,
    ) {
        self.next_poll = now + query::jitter(self.options.poll_interval, rng);
        let in_flight = |since| now.since(since) < self.options.window;
        if self.poll_started_at.is_some_and(in_flight) {
            return;
        }
        if self.is_poller()
            || self.is_store_confirmation_stale(now)
            || self.is_behind()
            || self.leaving
        {
            self.poll_started_at = Some(now);
            actions.push(Action::Poll {
                revision: self.edition.number,
                epoch: self.roster.epoch,
            });
        }
    }

    /// Whether this VM is one of the designated pollers of its zone.
    ///
    /// The designation rotates with the roster's epoch. VMs need not agree on it: if no
    /// designated poller reaches the store, its confirmation becomes stale on the other
    /// VMs, which then poll themselves.
    pub(super) fn is_poller(&self) -> bool {
        let members = self.roster.members().iter();
        let zone: Vec<_> = members.filter(|other| other.zone == self.me.zone).collect();
        let Ok(rank) = zone.binary_search(&&self.me) else {
            return true;
        };
        let size = zone.len() as u64;
        let rotated = (rank as u64 + self.roster.epoch.get()) % size;
        rotated < self.options.pollers_per_zone as u64
    }
}
