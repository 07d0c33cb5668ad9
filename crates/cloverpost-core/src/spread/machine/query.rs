//! Exchanges state with peers.

use std::time::Duration;

use rand::seq::IndexedRandom;

use crate::spread::machine::PendingQuery;
use crate::spread::{Action, Ages, Lags, Machine, Message, State};
use crate::time;

impl Machine {
    /// Queries random peers for their state and schedules the next exchange.
    pub(super) fn query_peers(
        &mut self,
        now: time::Moment,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<Action>,
    ) {
        self.expire_queries(now);
        let stale = self.is_store_confirmation_stale(now);
        let peers: Vec<_> = self
            .peers
            .choose_multiple(rng, self.options.query_fanout)
            .collect();
        for to in peers {
            self.last_query += 1;
            let query = PendingQuery {
                to: to.clone(),
                sent: now,
            };
            self.pending_queries.insert(self.last_query, query);
            actions.push(Action::Send {
                to: to.clone(),
                message: Message::Ask {
                    number: self.last_query,
                    doubt: stale,
                    state: self.state(now, false),
                },
            });
        }
        let active = stale || now < self.active_until;
        let interval = if active {
            self.options.active_interval
        } else {
            self.options.idle_interval
        };
        self.next_exchange = now + jitter(interval, rng);
    }

    /// Summary of this VM's state for a message to a peer.
    pub(super) fn state(&self, now: time::Moment, with_ages: bool) -> State {
        let window = self.options.window;
        let age = |since| now.since(since);
        let all_hold =
            (0..self.member_revisions.len()).all(|index| self.roster_holders.contains(index));
        State {
            run: self.me.run,
            epoch: self.roster.epoch,
            holders: (!all_hold).then(|| self.roster_holders.clone()),
            revision: self.edition.number,
            latest: self.latest,
            lags: Lags::of(&self.member_revisions, self.edition.number),
            store_age: self.store_confirmed_at.map(age).filter(|&age| age < window),
            ages: with_ages.then(|| Ages::of(&self.confirmed_at, now, window)),
        }
    }

    /// Whether more than half of the window has passed since the store's confirmation.
    pub(super) fn is_store_confirmation_stale(&self, now: time::Moment) -> bool {
        let old = |since| now.since(since) > self.options.window / 2;
        self.store_confirmed_at.is_none_or(old)
    }

    /// Shortens the interval between exchanges for [`active_period`].
    ///
    /// [`active_period`]: crate::spread::Options::active_period
    pub(super) fn start_active_period(&mut self, now: time::Moment) {
        self.active_until = now + self.options.active_period;
        self.next_exchange = self.next_exchange.min(now + self.options.active_interval);
    }

    /// Drops queries older than the window, whose answers would confirm nothing.
    fn expire_queries(&mut self, now: time::Moment) {
        let window = self.options.window;
        self.pending_queries
            .retain(|_, query| now.since(query.sent) < window);
    }
}

/// Randomises `interval` by up to 25 %, so that VMs do not synchronise.
pub(super) fn jitter(interval: Duration, rng: &mut impl rand::Rng) -> Duration {
    interval.mul_f64(rng.random_range(0.75..1.25))
}
