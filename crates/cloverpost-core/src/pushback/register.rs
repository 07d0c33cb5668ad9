//! Tracks what upstreams asked of this VM.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::directory::View;
use crate::pushback::Block;
use crate::pushback::rest::Rest;
use crate::{id, time};

/// Time for which a statement is kept while its upstream is not in the view. The registration may
/// return unchanged after an outage of the store.
const KEPT_WHILE_UNLISTED: Duration = Duration::from_mins(10);

/// What one upstream asked for.
#[derive(Clone, Copy, Debug, Default)]
struct Asked {
    /// When it first said that it leaves.
    leaving: Option<time::Moment>,
    rest: Option<Rest>,
    /// When it was last in the view, or first asked.
    listed: time::Moment,
}

/// Tracks what upstreams asked of this VM.
#[derive(Clone, Debug, Default)]
pub struct Register {
    upstreams: HashMap<id::Upstream, Asked>,
}

impl Register {
    /// Records that `upstream` says that it leaves, and returns whether that is new. Nothing but the
    /// start of another process under its id revokes it.
    pub fn record_leaving(&mut self, upstream: &id::Upstream, now: time::Moment) -> bool {
        let asked = self.entry(upstream, now);
        let is_new = asked.leaving.is_none();
        asked.leaving.get_or_insert(now);
        is_new
    }

    /// Records that `upstream` asked for a rest of `length`, and returns whether it had none before. Of
    /// several the latest end counts. `draw`, from 0 to 1, selects how much longer this VM waits.
    pub fn record_rest(
        &mut self,
        upstream: &id::Upstream,
        length: Duration,
        draw: f64,
        now: time::Moment,
    ) -> bool {
        if length.is_zero() {
            return false;
        }
        let asked = self.entry(upstream, now);
        let next = Rest::new(length, draw, now);
        let is_new = asked.rest.is_none_or(|rest| rest.is_over(now));
        asked.rest = Some(asked.rest.map_or(next, |rest| rest.extended(next, now)));
        is_new
    }

    fn entry(&mut self, upstream: &id::Upstream, now: time::Moment) -> &mut Asked {
        let asked = self.upstreams.entry(upstream.clone());
        asked.or_insert_with(|| Asked {
            listed: now,
            ..Asked::default()
        })
    }

    /// What keeps requests from `upstream`.
    #[must_use]
    pub fn block(&self, upstream: &id::Upstream, now: time::Moment) -> Option<Block> {
        let asked = self.upstreams.get(upstream)?;
        if asked.leaving.is_some() {
            return Some(Block::Leaving);
        }
        let is_resting = asked.rest.is_some_and(|rest| !rest.is_over(now));
        is_resting.then_some(Block::Resting)
    }

    /// Whether this VM may send a request to `upstream` now.
    #[must_use]
    pub fn admits(&self, upstream: &id::Upstream, now: time::Moment) -> bool {
        let Some(asked) = self.upstreams.get(upstream) else {
            return true;
        };
        asked.leaving.is_none() && asked.rest.is_none_or(|rest| rest.admits(now))
    }

    /// Whether `upstream` says that it leaves.
    #[must_use]
    pub fn is_leaving(&self, upstream: &id::Upstream) -> bool {
        let asked = self.upstreams.get(upstream);
        asked.is_some_and(|asked| asked.leaving.is_some())
    }

    /// Time until the rest of `upstream` is over, zero if it has none; `None` if it leaves.
    #[must_use]
    pub fn time_until_open(&self, upstream: &id::Upstream, now: time::Moment) -> Option<Duration> {
        let Some(asked) = self.upstreams.get(upstream) else {
            return Some(Duration::ZERO);
        };
        let rest = asked.rest.map(|rest| rest.until.since(now));
        asked.leaving.is_none().then_some(rest.unwrap_or_default())
    }

    /// Time since `upstream` first asked for what keeps requests from it.
    #[must_use]
    pub fn age(&self, upstream: &id::Upstream, now: time::Moment) -> Option<Duration> {
        let asked = self.upstreams.get(upstream)?;
        let since = asked.leaving.or(asked.rest.map(|rest| rest.since))?;
        Some(now.since(since))
    }

    /// Records a request that is sent to `upstream`.
    pub fn record_send(&mut self, upstream: &id::Upstream, now: time::Moment) {
        let asked = self.upstreams.get_mut(upstream);
        if let Some(rest) = asked.and_then(|asked| asked.rest.as_mut()) {
            rest.record_send(now);
        }
    }

    /// Forgets what the earlier process of `upstream` asked for.
    pub fn restart(&mut self, upstream: &id::Upstream) {
        self.upstreams.remove(upstream);
    }

    /// Takes the upstreams whose rests have ended since the last call, with the length of each.
    pub fn take_ended(&mut self, now: time::Moment) -> Vec<(id::Upstream, Duration)> {
        let mut ended = Vec::new();
        for (upstream, asked) in &mut self.upstreams {
            let Some(rest) = asked.rest.as_mut().filter(|rest| rest.is_over(now)) else {
                continue;
            };
            if !std::mem::replace(&mut rest.is_reported, true) {
                ended.push((upstream.clone(), rest.until.since(rest.since)));
            }
        }
        ended
    }

    /// Number of upstreams that get no request for `block`.
    #[must_use]
    pub fn count(&self, block: Block, now: time::Moment) -> usize {
        let upstreams = self.upstreams.keys();
        { upstreams }
            .filter(|id| self.block(id, now) == Some(block))
            .count()
    }

    /// Drops rests that ended long ago, and upstreams that have been absent from `view` for long.
    pub fn retain(&mut self, view: &View, now: time::Moment) {
        if self.upstreams.is_empty() {
            return;
        }
        let listed: HashSet<_> = view.upstreams().map(|one| &one.id).collect();
        self.upstreams.retain(|id, asked| {
            if listed.contains(id) {
                asked.listed = now;
            }
            asked.rest = asked.rest.filter(|rest| !rest.is_forgotten(now));
            let is_kept = now.since(asked.listed) < KEPT_WHILE_UNLISTED;
            is_kept && (asked.rest.is_some() || asked.leaving.is_some())
        });
    }
}
