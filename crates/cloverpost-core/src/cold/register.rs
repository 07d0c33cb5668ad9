//! Tracks cold upstreams and the requests this VM has sent to them.

use std::collections::HashMap;
use std::time::Duration;

use crate::cold::{Limit, Options};
use crate::directory::{Upstream, View};
use crate::quota::{RecentSends, Senders};
use crate::{id, time};

/// Window over which sends are counted: one second plus an allowance for network delay.
const SEND_WINDOW: Duration = Duration::from_millis(1100);
/// Time for which an upstream that refused a connection is treated as cold, unless a new
/// directory entry arrives earlier. A restarted upstream is listed within a second or two.
const SUSPICION_TIME: Duration = Duration::from_secs(5);

/// Warm-up parameters of a service.
#[derive(Clone, Copy, Debug)]
struct WarmUp {
    /// Time for which a started upstream is cold.
    duration: Duration,
    /// Limit on requests to each cold upstream.
    limit: Limit,
}

/// An upstream that is known or suspected to be cold.
#[derive(Clone, Debug)]
struct ColdUpstream {
    /// When the upstream becomes warm.
    until: time::Moment,
    /// Whether it became unreachable and has not responded since.
    is_suspect: bool,
    /// Whether this VM is one of its senders.
    is_sender: bool,
    upstream: Upstream,
    sent: RecentSends,
}

/// Tracks cold upstreams and the requests this VM has sent to them.
#[derive(Clone, Debug)]
pub struct Register {
    options: Options,
    senders: Senders,
    /// Warm-up parameters of the services whose upstreams start cold.
    services: HashMap<id::Pool, WarmUp>,
    upstreams: HashMap<id::Upstream, ColdUpstream>,
}

impl Register {
    /// Creates a register without cold upstreams.
    #[must_use]
    pub fn new(options: Options, senders: Senders) -> Self {
        Self {
            options,
            senders,
            services: HashMap::new(),
            upstreams: HashMap::new(),
        }
    }

    /// Updates the VMs among which senders are selected.
    pub fn set_senders(&mut self, senders: Senders) {
        self.senders = senders;
        for cold in self.upstreams.values_mut() {
            let warm_up = self.services.get(&cold.upstream.service);
            cold.is_sender = warm_up.is_some_and(|one| {
                self.senders
                    .includes_self(&cold.upstream, one.limit.senders)
            });
        }
    }

    /// Applies the change from `last` to `view`. Returns the upstreams that became cold and the
    /// remaining time of each.
    pub fn apply_view(
        &mut self,
        last: &View,
        view: &View,
        now: time::Moment,
    ) -> Vec<(id::Upstream, Duration)> {
        self.upstreams
            .retain(|_, cold| now < cold.until + SEND_WINDOW);
        self.update_services(view);
        let mut newly_cold = Vec::new();
        for (service, pool) in &view.pools {
            let Some(warm_up) = self.services.get(service).copied() else {
                continue;
            };
            let previous = last.pools.get(service).into_iter();
            let previous = previous.flat_map(|pool| &pool.upstreams);
            let previous: HashMap<_, _> = previous.map(|one| (&one.id, one)).collect();
            for upstream in &pool.upstreams {
                let known = previous.get(&upstream.id);
                // Upstreams of a zone become cold when its evacuation ends, but their entries may
                // not say so yet.
                let is_reinstated = known.is_none() && last.evacuated.contains(&upstream.zone);
                let is_changed = known.is_none_or(|known| {
                    known.cold != upstream.cold || upstream.is_restart_of(known)
                });
                if !is_changed {
                    continue;
                }
                let min_time = if is_reinstated {
                    warm_up.duration
                } else {
                    Duration::ZERO
                };
                let cold_time = min_time.max(upstream.cold);
                if self.apply_entry(upstream, cold_time, now) {
                    newly_cold.push((upstream.id.clone(), cold_time));
                }
            }
        }
        newly_cold
    }

    fn update_services(&mut self, view: &View) {
        let index = view.index.as_ref();
        let services = index.into_iter().flat_map(|index| index.services());
        let cold = services.filter(|one| !one.cold_time.is_zero());
        let options = &self.options;
        let warm_up = cold.map(|one| {
            let warm_up = WarmUp {
                duration: one.cold_time,
                limit: Limit::new(one.cold_rate, options),
            };
            (one.name.clone(), warm_up)
        });
        self.services = warm_up.collect();
    }

    /// Applies the directory entry of `upstream`, which is cold for `cold_time`; returns whether it
    /// is cold at all.
    fn apply_entry(&mut self, upstream: &Upstream, cold_time: Duration, now: time::Moment) -> bool {
        if cold_time.is_zero() {
            // A warm entry clears a suspicion. A known cold period expires on its own, since the
            // entry may be older.
            let known = self.upstreams.get(&upstream.id);
            if known.is_some_and(|cold| cold.is_suspect) {
                self.upstreams.remove(&upstream.id);
            }
            return false;
        }
        let cold = self.entry(upstream);
        cold.until = now + cold_time;
        cold.is_suspect = false;
        true
    }

    /// Records that `upstream` refused a connection or stopped responding. It may have restarted
    /// and be cold.
    pub fn suspect(&mut self, upstream: &Upstream, now: time::Moment) {
        if self.services.contains_key(&upstream.service) {
            let cold = self.entry(upstream);
            cold.until = cold.until.max(now + SUSPICION_TIME);
            cold.is_suspect = true;
        }
    }

    /// Records a response from `upstream`. A suspected upstream is then known to be cold.
    pub fn record_response(&mut self, upstream: &id::Upstream, now: time::Moment) {
        if let Some(cold) = self.upstreams.get_mut(upstream)
            && cold.is_suspect
            && let Some(warm_up) = self.services.get(&cold.upstream.service)
        {
            cold.is_suspect = false;
            cold.until = now + warm_up.duration;
        }
    }

    fn entry(&mut self, upstream: &Upstream) -> &mut ColdUpstream {
        let warm_up = self.services.get(&upstream.service);
        let senders = warm_up.map_or(0, |warm_up| warm_up.limit.senders);
        let cold = self.upstreams.entry(upstream.id.clone());
        cold.or_insert_with(|| ColdUpstream {
            until: time::Moment::default(),
            is_suspect: false,
            is_sender: self.senders.includes_self(upstream, senders),
            upstream: upstream.clone(),
            sent: RecentSends::default(),
        })
    }

    /// Whether `upstream` is known or suspected to be cold.
    #[must_use]
    pub fn is_cold(&self, upstream: &id::Upstream, now: time::Moment) -> bool {
        let cold = self.upstreams.get(upstream);
        cold.is_some_and(|cold| now < cold.until)
    }

    /// Whether this VM may send to `upstream` now.
    #[must_use]
    pub fn admits(&self, upstream: &id::Upstream, now: time::Moment) -> bool {
        let cold = self.upstreams.get(upstream);
        cold.is_none_or(|cold| {
            now >= cold.until || cold.is_sender && self.is_within_quota(cold, now)
        })
    }

    /// Whether this VM may send to `upstream` as a last resort. Unlike [`Self::admits`], allows
    /// suspected upstreams within the quota even if this VM is not a sender, since a network fault
    /// of this VM makes every upstream suspected.
    #[must_use]
    pub fn admits_as_last_resort(&self, upstream: &id::Upstream, now: time::Moment) -> bool {
        let cold = self.upstreams.get(upstream);
        cold.is_none_or(|cold| cold.is_suspect && self.is_within_quota(cold, now))
            || self.admits(upstream, now)
    }

    /// Time until `upstream` is warm; zero if it already is.
    #[must_use]
    pub fn time_until_warm(&self, upstream: &id::Upstream, now: time::Moment) -> Duration {
        let cold = self.upstreams.get(upstream);
        cold.map_or(Duration::ZERO, |cold| cold.until.since(now))
    }

    fn is_within_quota(&self, cold: &ColdUpstream, now: time::Moment) -> bool {
        let warm_up = self.services.get(&cold.upstream.service);
        let sent = cold.sent.count(SEND_WINDOW, now);
        warm_up.is_some_and(|warm_up| sent < warm_up.limit.per_sender)
    }

    /// Records a send to `upstream`.
    pub fn record_send(&mut self, upstream: &id::Upstream, now: time::Moment) {
        if let Some(cold) = self.upstreams.get_mut(upstream) {
            cold.sent.record(SEND_WINDOW, now);
        }
    }
}
