//! Services whose upstreams are fragile, and this VM's requests there.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::count;
use crate::directory::{Upstream, View};
use crate::fragile::allowance::Allowance;
use crate::fragile::{Load, Notice, Share};
use crate::quota::Senders;
use crate::throttle::Rate;
use crate::{id, time};

/// Consecutive responses without a statement that show its end; one may have lost it by chance.
const END_RESPONSES: u32 = 2;
/// Weight of a new sample in the moving average of the time that a request keeps its place.
const HELD_WEIGHT: f64 = 0.1;
/// Assumed time that a request keeps its place, in seconds, until one has ended.
const DEFAULT_HELD_SECONDS: f64 = 1.0;
/// Time after a rejection in which no VM exceeds its share.
const SATURATED_TIME: Duration = Duration::from_secs(1);
/// Shortest interval between two notices of one service.
const NOTICE_INTERVAL: Duration = Duration::from_millis(250);
/// Time constant of the moving average of a service's load. The count of one zone varies widely.
const LOAD_TIME: Duration = Duration::from_secs(1);
/// Part of the slots of a service up to which its upstreams have room for requests beyond the shares.
const LIGHT_LOAD: f64 = 0.5;

/// A change of what is known of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Its upstreams state for the first time how many rejections a second they survive, or another
    /// number.
    Stated(Rate),
    /// Its upstreams are no longer fragile.
    Ended,
}

/// What the upstreams of a service state.
#[derive(Clone, Copy, Debug)]
struct Statement {
    limit: Rate,
    /// When a response last had it. Responses to earlier requests do not show its end.
    learned: time::Moment,
    /// Consecutive responses without it.
    unstated: u32,
    /// Moving average of the time that a request keeps its place, in seconds.
    held: Option<f64>,
    /// Moving average of the requests in flight from all VMs, and when it was updated.
    load: Option<(f64, time::Moment)>,
    /// When this VM last learned of a rejection.
    rejected: Option<time::Moment>,
    /// When this VM last sent or got a notice.
    noticed: Option<time::Moment>,
    /// Whether other VMs must be told of a rejection.
    is_news: bool,
}

impl Statement {
    fn new(limit: Rate, now: time::Moment) -> Self {
        Self {
            limit,
            learned: now,
            unstated: 0,
            held: None,
            load: None,
            rejected: None,
            noticed: None,
            is_news: false,
        }
    }

    /// Records a rejection, and returns whether it is time for a notice.
    fn record_rejection(&mut self, now: time::Moment) -> bool {
        self.rejected = Some(now);
        let is_due = self
            .noticed
            .is_none_or(|noticed| now.since(noticed) >= NOTICE_INTERVAL);
        if is_due {
            self.noticed = Some(now);
        }
        is_due
    }

    fn record_load(&mut self, load: f64, now: time::Moment) {
        let mean = self.load.map_or(load, |(mean, updated)| {
            let elapsed = now.since(updated).as_secs_f64();
            mean + (load - mean) * elapsed / (elapsed + LOAD_TIME.as_secs_f64())
        });
        self.load = Some((mean, now));
    }

    /// Whether some upstream rejected a request lately.
    fn is_saturated(&self, now: time::Moment) -> bool {
        self.rejected
            .is_some_and(|rejected| now.since(rejected) < SATURATED_TIME)
    }
}

/// Tracks fragile services and this VM's requests to their upstreams.
#[derive(Clone, Debug)]
pub struct Register {
    senders: Senders,
    services: HashMap<id::Pool, Statement>,
    allowances: HashMap<id::Upstream, Allowance>,
    /// Ranks of this VM, computed once for each member list.
    ranks: HashMap<id::Upstream, Option<usize>>,
}

impl Register {
    /// Creates a register without fragile services.
    #[must_use]
    pub fn new(senders: Senders) -> Self {
        Self {
            senders,
            services: HashMap::new(),
            allowances: HashMap::new(),
            ranks: HashMap::new(),
        }
    }

    /// Updates the VMs among which places are divided.
    pub fn set_senders(&mut self, senders: Senders) {
        self.senders = senders;
        self.ranks.clear();
    }

    /// Records the `load` of all `upstreams` of `service`, and computes the shares that are not known
    /// yet.
    pub fn prepare<'a>(
        &mut self,
        service: &id::Pool,
        upstreams: impl Iterator<Item = &'a Arc<Upstream>>,
        load: Load,
        now: time::Moment,
    ) {
        let estimate = self.estimate(load);
        let Some(statement) = self.services.get_mut(service) else {
            return;
        };
        statement.record_load(estimate, now);
        for upstream in upstreams {
            if !self.ranks.contains_key(&upstream.id) {
                let rank = self.senders.rank(&upstream.id);
                self.ranks.insert(upstream.id.clone(), rank);
            }
        }
    }

    /// Records what a response of an upstream of `service` to a request sent at `sent` states.
    pub fn record_statement(
        &mut self,
        service: &id::Pool,
        stated: Option<Rate>,
        sent: time::Moment,
        now: time::Moment,
    ) -> Option<Change> {
        let last = self.services.get(service);
        if let Some(limit) = stated {
            let is_change = last.is_none_or(|last| last.limit != limit);
            let new = Statement::new(limit, now);
            let statement = last.map_or(new, |last| Statement {
                limit,
                learned: now,
                unstated: 0,
                ..*last
            });
            self.services.insert(service.clone(), statement);
            return is_change.then_some(Change::Stated(limit));
        }
        let statement = self.services.get_mut(service)?;
        // An earlier request may have been answered before the upstreams were fragile.
        if sent <= statement.learned {
            return None;
        }
        statement.unstated += 1;
        if statement.unstated < END_RESPONSES {
            return None;
        }
        self.services.remove(service);
        Some(Change::Ended)
    }

    /// Records that `upstream` rejected a request while it had `accepted` others of this VM. Returns
    /// whether other VMs should be told now.
    pub fn record_rejection(
        &mut self,
        upstream: &Upstream,
        accepted: usize,
        now: time::Moment,
    ) -> bool {
        let Some(statement) = self.services.get_mut(&upstream.service) else {
            return false;
        };
        let is_due = statement.record_rejection(now);
        statement.is_news |= is_due;
        let allowance = self.allowances.entry(upstream.id.clone()).or_default();
        allowance.record_rejection(accepted, now);
        is_due
    }

    /// Takes the notices that other VMs should get now.
    pub fn take_news(&mut self) -> Vec<Notice> {
        let services = self.services.iter_mut();
        let news = services.filter_map(|(service, statement)| {
            std::mem::take(&mut statement.is_news).then(|| Notice {
                service: service.clone(),
                limit: statement.limit,
            })
        });
        news.collect()
    }

    /// Merges notices of another VM and returns those that a watcher should forward.
    pub fn merge(&mut self, notices: Vec<Notice>, now: time::Moment) -> Vec<Notice> {
        let forwarded = notices.into_iter().filter(|notice| {
            let known = self.services.entry(notice.service.clone());
            let statement = known.or_insert_with(|| Statement::new(notice.limit, now));
            statement.record_rejection(now)
        });
        forwarded.collect()
    }

    /// Records that `upstream` accepted a request.
    pub fn record_response(&mut self, upstream: &Upstream) {
        let Some(share) = self.share(upstream) else {
            return;
        };
        if let Some(allowance) = self.allowances.get_mut(&upstream.id) {
            allowance.record_response(share);
        }
    }

    /// Records a request that is sent to `upstream`.
    pub fn record_send(&mut self, upstream: &Upstream, now: time::Moment) {
        if self.services.contains_key(&upstream.service) {
            let allowance = self.allowances.entry(upstream.id.clone()).or_default();
            allowance.record_send(now);
        }
    }

    /// Records that a request kept its place at an upstream of `service` for `held`.
    pub fn record_end(&mut self, service: &id::Pool, held: Duration) {
        if let Some(statement) = self.services.get_mut(service) {
            let held = held.as_secs_f64();
            let mean = statement.held.unwrap_or(held);
            statement.held = Some(mean + (held - mean) * HELD_WEIGHT);
        }
    }

    /// Requests a second that this VM may send to `upstreams`, those of `service`; `None` if they are
    /// not fragile.
    pub fn rate<'a>(
        &self,
        service: &id::Pool,
        upstreams: impl Iterator<Item = &'a Arc<Upstream>>,
    ) -> Option<Rate> {
        let held = self.services.get(service)?.held;
        let held = held.unwrap_or(DEFAULT_HELD_SECONDS).max(f64::MIN_POSITIVE);
        let shares = upstreams.filter_map(|upstream| self.share(upstream));
        let rates = shares.map(|share| share.rate(held));
        Rate::try_from(rates.sum::<f64>()).ok()
    }

    /// Whether this VM may send a request to `upstream`, which has `load`. `is_light` is the state of
    /// its service.
    #[must_use]
    pub fn admits(
        &self,
        upstream: &Upstream,
        load: Load,
        is_light: bool,
        now: time::Moment,
    ) -> bool {
        self.has_place(upstream, load.own, now)
            || is_light && self.admits_excess(upstream, load, now)
    }

    /// Whether the upstreams of `service`, with `slots` in all, are likely to accept requests beyond
    /// the shares.
    #[must_use]
    pub fn is_light(&self, service: &id::Pool, slots: u32, now: time::Moment) -> bool {
        let Some(statement) = self.services.get(service) else {
            return true;
        };
        let load = statement.load.map_or(0.0, |(load, _)| load);
        !statement.is_saturated(now) && load <= f64::from(slots) * LIGHT_LOAD
    }

    /// Whether this VM's share has a place for a request to `upstream` beside its `in_flight` others
    /// there.
    #[must_use]
    pub fn has_place(&self, upstream: &Upstream, in_flight: usize, now: time::Moment) -> bool {
        let Some(share) = self.share(upstream) else {
            return true;
        };
        let new = Allowance::default();
        let allowance = self.allowances.get(&upstream.id).unwrap_or(&new);
        allowance.admits(share, in_flight, now)
    }

    fn admits_excess(&self, upstream: &Upstream, load: Load, now: time::Moment) -> bool {
        let Some(share) = self.share(upstream) else {
            return true;
        };
        let new = Allowance::default();
        let allowance = self.allowances.get(&upstream.id).unwrap_or(&new);
        self.estimate(load) <= f64::from(upstream.slots)
            && allowance.admits_excess(share, load.own, now)
    }

    /// Requests in flight from all VMs.
    fn estimate(&self, load: Load) -> f64 {
        count::to_f64(load.estimate(self.senders.count(), self.senders.count_in_zone()))
    }

    /// Rejections a second that each upstream of `service` survives; `None` if it is not fragile.
    #[must_use]
    pub fn limit(&self, service: &id::Pool) -> Option<Rate> {
        self.services.get(service).map(|one| one.limit)
    }

    /// This VM's share of the requests on `upstream`; `None` if it is not fragile.
    #[must_use]
    pub fn share(&self, upstream: &Upstream) -> Option<Share> {
        let limit = self.limit(&upstream.service)?;
        let rank = self.ranks.get(&upstream.id).copied();
        let rank = rank.unwrap_or_else(|| self.senders.rank(&upstream.id));
        Some(Share::new(
            limit,
            upstream.slots,
            self.senders.count(),
            rank,
        ))
    }

    /// Number of fragile services.
    #[must_use]
    pub fn count(&self) -> usize {
        self.services.len()
    }

    /// Records that `upstream` has restarted under its id, with all of its room.
    pub fn restart(&mut self, upstream: &id::Upstream) {
        self.allowances.remove(upstream);
    }

    /// Drops the state of services and upstreams that are not in `view`, and of upstreams that are no
    /// longer fragile.
    pub fn retain(&mut self, view: &View) {
        let known: HashSet<_> = view.upstreams().map(|one| &one.service).collect();
        // No upstreams are known yet, or their zones are evacuated.
        if known.is_empty() {
            return;
        }
        self.services.retain(|service, _| known.contains(service));
        let upstreams = view.upstreams();
        let fragile = upstreams.filter(|one| self.services.contains_key(&one.service));
        let fragile: HashSet<_> = fragile.map(|one| &one.id).collect();
        self.allowances.retain(|id, _| fragile.contains(id));
        self.ranks.retain(|id, _| fragile.contains(id));
    }
}
