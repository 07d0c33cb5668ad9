//! Tracks the rate limits that upstreams state.

use std::collections::HashMap;

use crate::throttle::Rate;
use crate::{id, time};

/// A change of what is known of an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The upstream states a limit for the first time, or another one.
    Stated(Rate),
    /// The upstream no longer states a limit.
    Ended,
}

/// The limit that an upstream states.
#[derive(Clone, Copy, Debug)]
struct Stated {
    rate: Rate,
    /// When a response last stated it.
    confirmed: time::Moment,
}

/// Tracks the rate limits that upstreams state.
#[derive(Clone, Debug, Default)]
pub struct Register {
    upstreams: HashMap<id::Upstream, Stated>,
}

impl Register {
    /// Records what a response of `upstream` to a request sent at `sent` states.
    pub fn record_response(
        &mut self,
        upstream: &id::Upstream,
        stated: Option<Rate>,
        sent: time::Moment,
        now: time::Moment,
    ) -> Option<Change> {
        let known = self.upstreams.get(upstream).copied();
        let Some(rate) = stated else {
            // The response may be older than the one that stated the limit, unless its request was
            // sent later.
            known.filter(|known| sent > known.confirmed)?;
            self.upstreams.remove(upstream);
            return Some(Change::Ended);
        };
        let confirmed = Stated {
            rate,
            confirmed: now,
        };
        self.upstreams.insert(upstream.clone(), confirmed);
        let is_new = known.is_none_or(|known| known.rate != rate);
        is_new.then_some(Change::Stated(rate))
    }

    /// The limit that `upstream` states.
    #[must_use]
    pub fn rate(&self, upstream: &id::Upstream) -> Option<Rate> {
        self.upstreams.get(upstream).map(|stated| stated.rate)
    }

    /// Number of upstreams that state a limit.
    #[must_use]
    pub fn count(&self) -> usize {
        self.upstreams.len()
    }
}
