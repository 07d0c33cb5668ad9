//! Connections of this VM by upstream.

use std::collections::{HashMap, HashSet};

use crate::connections::{Bound, Decision, Reduction};
use crate::directory::View;
use crate::id;
use crate::time;

/// Connections of this VM by upstream, and the limits on them.
#[derive(Clone, Debug, Default)]
pub struct Register(HashMap<id::Upstream, Connections>);

/// Connections to one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Connections {
    /// Connections that are open or being opened.
    open: usize,
    bound: Bound,
    reduction: Option<Reduction>,
}

impl Connections {
    /// The limit in force; `None` if there is none.
    fn limit(&self, now: time::Moment) -> Option<usize> {
        let reduced = self.reduction.map(|reduction| reduction.limit(now));
        match self.bound {
            Bound::None => None,
            Bound::Unknown => reduced,
            Bound::Limited(bound) => Some(reduced.map_or(bound, |reduced| reduced.min(bound))),
        }
    }

    /// Whether no connection may be opened since one was reset just now.
    fn is_paused(&self, now: time::Moment) -> bool {
        let reduction = self.reduction.filter(|_| self.bound != Bound::None);
        reduction.is_some_and(|reduction| reduction.is_paused(now))
    }

    fn is_reduced(&self, now: time::Moment) -> bool {
        self.reduction.is_some_and(|reduction| {
            let end = match self.bound {
                Bound::None => 0,
                Bound::Unknown => reduction.end(),
                Bound::Limited(bound) => bound,
            };
            reduction.limit(now) < end
        })
    }
}

impl Register {
    /// Sets the bound on the connections to `upstream`.
    pub fn set_bound(&mut self, upstream: &id::Upstream, bound: Bound) {
        self.0.entry(upstream.clone()).or_default().bound = bound;
    }

    /// The bound that was set for `upstream`, apart from reductions.
    #[must_use]
    pub fn bound(&self, upstream: &id::Upstream) -> Bound {
        self.connections(upstream).bound
    }

    /// Connections to `upstream` that are open or being opened.
    #[must_use]
    pub fn open(&self, upstream: &id::Upstream) -> usize {
        self.connections(upstream).open
    }

    /// Upstreams with a connection that is open or being opened.
    pub fn used(&self) -> impl Iterator<Item = &id::Upstream> {
        let used = self.0.iter().filter(|(_, one)| one.open > 0);
        used.map(|(upstream, _)| upstream)
    }

    /// Connections to all upstreams that are open or being opened.
    #[must_use]
    pub fn total(&self) -> usize {
        self.0.values().map(|connections| connections.open).sum()
    }

    /// Limit in force on the connections to `upstream`; `None` if there is none.
    #[must_use]
    pub fn limit(&self, upstream: &id::Upstream, now: time::Moment) -> Option<usize> {
        self.connections(upstream).limit(now)
    }

    /// Decides for a request that can use none of the `idle` connections to `upstream`.
    #[must_use]
    pub fn decide(&self, upstream: &id::Upstream, idle: usize, now: time::Moment) -> Decision {
        if self.has_capacity(upstream, now) {
            Decision::Open
        } else if idle > 0 {
            Decision::CloseIdle
        } else {
            Decision::Wait
        }
    }

    /// Whether a connection to `upstream` may be opened.
    #[must_use]
    pub fn has_capacity(&self, upstream: &id::Upstream, now: time::Moment) -> bool {
        let connections = self.connections(upstream);
        let limit = connections.limit(now);
        !connections.is_paused(now) && limit.is_none_or(|limit| connections.open < limit)
    }

    /// Whether a connection to `upstream` may be opened that serves no request, which leaves one for a
    /// request unless the limit is one.
    #[must_use]
    pub fn has_spare_capacity(&self, upstream: &id::Upstream, now: time::Moment) -> bool {
        let connections = self.connections(upstream);
        let limit = connections.limit(now);
        limit.is_none_or(|limit| connections.open + 1 < limit.max(2))
    }

    /// Records that a connection to `upstream` is being opened.
    pub fn record_open(&mut self, upstream: &id::Upstream) {
        self.0.entry(upstream.clone()).or_default().open += 1;
    }

    /// Records that a connection to `upstream` was closed.
    pub fn record_closed(&mut self, upstream: &id::Upstream) {
        if let Some(connections) = self.0.get_mut(upstream) {
            connections.open = connections.open.saturating_sub(1);
        }
    }

    /// Records that `upstream` reset a connection that was opened at `opened`, which exceeded what it
    /// accepts. Returns the new limit if that reduces it.
    pub fn record_reset(
        &mut self,
        upstream: &id::Upstream,
        opened: time::Moment,
        now: time::Moment,
    ) -> Option<usize> {
        let connections = self.0.get_mut(upstream)?;
        if connections.bound == Bound::None {
            return None;
        }
        let next = Reduction::new(connections.open, now);
        let reduction = match connections.reduction {
            Some(last) if !last.covers(opened) => return None,
            Some(last) => last.followed_by(next),
            None => next,
        };
        connections.reduction = Some(reduction);
        Some(reduction.limit(now))
    }

    /// Whether the limit of `upstream` is reduced.
    #[must_use]
    pub fn is_reduced(&self, upstream: &id::Upstream, now: time::Moment) -> bool {
        self.connections(upstream).is_reduced(now)
    }

    /// Whether idle connections to `upstream` should make room: its limit is reduced, or more than
    /// half of it is used.
    #[must_use]
    pub fn is_scarce(&self, upstream: &id::Upstream, now: time::Moment) -> bool {
        let connections = self.connections(upstream);
        let limit = connections.limit(now);
        let is_half_used = limit.is_some_and(|limit| connections.open * 2 > limit);
        is_half_used || connections.is_reduced(now)
    }

    /// Takes the upstreams whose reductions have ended since the last call.
    pub fn take_restored(&mut self, now: time::Moment) -> Vec<id::Upstream> {
        let mut restored = Vec::new();
        for (upstream, connections) in &mut self.0 {
            if connections.reduction.is_some() && !connections.is_reduced(now) {
                connections.reduction = None;
                restored.push(upstream.clone());
            }
        }
        restored
    }

    /// Forgets the resets of the earlier process of `upstream`. Connections to it count until they are
    /// closed.
    pub fn restart(&mut self, upstream: &id::Upstream) {
        if let Some(connections) = self.0.get_mut(upstream) {
            connections.reduction = None;
        }
    }

    /// Drops the upstreams without a connection that are not in `view`.
    pub fn retain(&mut self, view: &View) {
        let listed: HashSet<_> = view.upstreams().map(|one| &one.id).collect();
        self.0
            .retain(|id, connections| connections.open > 0 || listed.contains(id));
    }

    fn connections(&self, upstream: &id::Upstream) -> Connections {
        self.0.get(upstream).copied().unwrap_or_default()
    }
}
