//! Tracks the rate limits that upstreams state and this VM's sends to them.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::directory::View;
use crate::quota::{RecentSends, Senders};
use crate::throttle::pacer::Pacer;
use crate::throttle::status::Status;
use crate::throttle::{Allotment, Notice, Options, Rate};
use crate::{id, time};

/// Consecutive responses without the limit that show its end; one may have lost it by chance.
const END_RESPONSES: u32 = 2;
/// Interval between reports that a limit still holds.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Time without news after which a VM no longer relies on the senders to notice the end.
const STALE_AFTER: Duration = Duration::from_secs(20);
/// Time for which the end of a limit is repeated to other VMs.
const END_KEPT: Duration = Duration::from_secs(30);
/// Relative change of a rate that is reported at once.
const REPORTED_CHANGE: f64 = 0.1;

/// A change of what is known of an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The upstream states a limit for the first time, or another one.
    Stated(Rate),
    /// The upstream no longer states a limit.
    Ended,
}

/// What is known of one upstream's limit.
#[derive(Clone, Debug)]
struct Limited {
    status: Status,
    /// Stamp of the last notice or response about it.
    stamp: u64,
    /// When the status changed or a response to this VM last stated the limit. Responses to
    /// earlier requests do not show its end.
    learned: time::Moment,
    /// When there was last news that it holds.
    confirmed: time::Moment,
    /// Consecutive responses without the limit.
    unstated: u32,
    /// Whether one request may be sent beyond the pace to learn whether the limit has ended.
    may_verify: bool,
    /// Whether other VMs must be told at once.
    is_news: bool,
    /// Whether a response to this VM stated it since the last report.
    is_confirmed_here: bool,
    reported: time::Moment,
    /// Rank of this VM among its senders.
    rank: Option<usize>,
    pacer: Pacer,
    sent: RecentSends,
}

/// Tracks the rate limits that upstreams state and this VM's sends to them.
#[derive(Clone, Debug)]
pub struct Register {
    options: Options,
    senders: Senders,
    upstreams: HashMap<id::Upstream, Limited>,
}

impl Register {
    /// Creates a register without limits.
    #[must_use]
    pub fn new(options: Options, senders: Senders) -> Self {
        Self {
            options,
            senders,
            upstreams: HashMap::new(),
        }
    }

    /// Updates the VMs among which rates are divided.
    pub fn set_senders(&mut self, senders: Senders, now: time::Moment) {
        let last_vms = self.senders.count();
        let vms = senders.count();
        self.senders = senders;
        for (upstream, limited) in &mut self.upstreams {
            let last = limited.allotment(last_vms, &self.options, now);
            let was_sender = last.is_some_and(|last| limited.is_sender(&last, last_vms, now));
            limited.rank = self.senders.rank(upstream);
            let allotment = limited.allotment(vms, &self.options, now);
            let new = allotment.filter(|new| !was_sender && limited.is_sender(new, vms, now));
            if let Some(allotment) = new {
                limited.pacer = Pacer::succeed(allotment, now);
            }
        }
    }

    /// Records what a response of `upstream` to a request sent at `sent` states. `now_ms` is the
    /// store's clock.
    pub fn record_response(
        &mut self,
        upstream: &id::Upstream,
        stated: Option<Rate>,
        sent: time::Moment,
        now: time::Moment,
        now_ms: u64,
    ) -> Option<Change> {
        match stated {
            Some(rate) => self.record_stated(upstream, rate, now, now_ms),
            None => self.record_unstated(upstream, sent, now, now_ms),
        }
    }

    fn record_stated(
        &mut self,
        upstream: &id::Upstream,
        rate: Rate,
        now: time::Moment,
        now_ms: u64,
    ) -> Option<Change> {
        let known = self.upstreams.get(upstream).map(|one| one.status.stated());
        let last = known.flatten();
        let limited = self.entry(upstream, Status::Limited(rate), now);
        limited.stamp = now_ms.max(limited.stamp + 1);
        limited.learned = now;
        limited.unstated = 0;
        limited.may_verify = false;
        limited.is_confirmed_here = true;
        limited.is_news |= last.is_none_or(|last| is_reported_change(last, rate));
        (last != Some(rate)).then_some(Change::Stated(rate))
    }

    fn record_unstated(
        &mut self,
        upstream: &id::Upstream,
        sent: time::Moment,
        now: time::Moment,
        now_ms: u64,
    ) -> Option<Change> {
        let vms = self.senders.count();
        let limited = self.upstreams.get_mut(upstream)?;
        let rate = limited.status.stated()?;
        // An earlier request may have been answered before the upstream was in need.
        if sent <= limited.learned {
            return None;
        }
        limited.unstated += 1;
        limited.may_verify = true;
        if limited.unstated < END_RESPONSES {
            return None;
        }
        limited.end(rate, now);
        limited.restart_pacer(vms, &self.options, now);
        limited.stamp = now_ms.max(limited.stamp + 1);
        limited.is_news = true;
        Some(Change::Ended)
    }

    /// Merges notices of another VM and returns those that change what this VM knows.
    pub fn merge(&mut self, notices: Vec<Notice>, now: time::Moment) -> Vec<Notice> {
        let mut changed = Vec::new();
        for notice in notices {
            if self.merge_one(&notice, now) {
                changed.push(notice);
            }
        }
        changed
    }

    fn merge_one(&mut self, notice: &Notice, now: time::Moment) -> bool {
        let known = self.upstreams.get(&notice.upstream);
        if known.is_some_and(|known| known.stamp >= notice.stamp) {
            return false;
        }
        let last = known.and_then(|known| known.status.stated());
        let Some(rate) = notice.rate else {
            self.merge_end(notice, now);
            return last.is_some();
        };
        let limited = self.entry(&notice.upstream, Status::Limited(rate), now);
        limited.stamp = notice.stamp;
        if last.is_none() {
            limited.learned = now;
            limited.unstated = 0;
            limited.may_verify = false;
        }
        last.is_none_or(|last| is_reported_change(last, rate))
    }

    fn merge_end(&mut self, notice: &Notice, now: time::Moment) {
        let vms = self.senders.count();
        let Some(limited) = self.upstreams.get_mut(&notice.upstream) else {
            return;
        };
        limited.stamp = notice.stamp;
        if let Some(rate) = limited.status.stated() {
            limited.end(rate, now);
            limited.restart_pacer(vms, &self.options, now);
        }
    }

    /// Records that `upstream` has restarted under its id. The new process may be in need too, so
    /// the rate is raised in steps.
    pub fn restart(&mut self, upstream: &id::Upstream, now: time::Moment) {
        let vms = self.senders.count();
        if let Some(limited) = self.upstreams.get_mut(upstream)
            && let Some(rate) = limited.status.stated()
        {
            limited.end(rate, now);
            limited.restart_pacer(vms, &self.options, now);
        }
    }

    /// Takes the notices that other VMs should get now.
    pub fn take_news(&mut self, now: time::Moment) -> Vec<Notice> {
        let mut news = Vec::new();
        for (upstream, limited) in &mut self.upstreams {
            let is_due = now.since(limited.reported) >= REPORT_INTERVAL;
            if limited.is_news || limited.is_confirmed_here && is_due {
                limited.is_news = false;
                limited.is_confirmed_here = false;
                limited.reported = now;
                news.push(limited.notice(upstream));
            }
        }
        news
    }

    /// All limits, and those that have ended lately.
    #[must_use]
    pub fn notices(&self, now: time::Moment) -> Vec<Notice> {
        let current = self.upstreams.iter();
        let current = current.filter(|(_, limited)| !limited.is_forgotten(now));
        current
            .map(|(upstream, limited)| limited.notice(upstream))
            .collect()
    }

    /// Drops limits that ended long ago and those of upstreams that are not in `view`, unless no
    /// upstreams are known yet.
    pub fn retain(&mut self, view: &View, now: time::Moment) {
        let known: HashSet<_> = view.upstreams().map(|one| &one.id).collect();
        self.upstreams.retain(|id, limited| {
            (known.is_empty() || known.contains(id)) && !limited.is_forgotten(now)
        });
    }

    /// The rate in force for `upstream`.
    #[must_use]
    pub fn rate(&self, upstream: &id::Upstream, now: time::Moment) -> Option<Rate> {
        self.upstreams.get(upstream)?.status.in_force(now)
    }

    /// Number of upstreams that state a limit.
    #[must_use]
    pub fn count(&self) -> usize {
        let limited = self.upstreams.values();
        limited.filter_map(|one| one.status.stated()).count()
    }

    /// Whether this VM may send to `upstream` now.
    #[must_use]
    pub fn admits(&self, upstream: &id::Upstream, now: time::Moment) -> bool {
        self.wait(upstream, now) == Some(Duration::ZERO)
    }

    /// Whether a request should go to `upstream`, which this VM may send to now, rather than to
    /// others: its limit may have ended, or this VM has not used its part for a while. Where many
    /// upstreams serve, nobody would notice the end otherwise.
    #[must_use]
    pub fn prefers(&self, upstream: &id::Upstream, now: time::Moment) -> bool {
        let Some(limited) = self.upstreams.get(upstream) else {
            return false;
        };
        let allotment = limited.allotment(self.senders.count(), &self.options, now);
        allotment.is_some_and(|allotment| {
            limited.may_verify || limited.pacer.adapted(allotment, now).is_overdue(now)
        })
    }

    /// Time until this VM may send to `upstream`; `None` if it is none of its senders.
    #[must_use]
    pub fn wait(&self, upstream: &id::Upstream, now: time::Moment) -> Option<Duration> {
        let Some(limited) = self.upstreams.get(upstream) else {
            return Some(Duration::ZERO);
        };
        let vms = self.senders.count();
        let Some(allotment) = limited.allotment(vms, &self.options, now) else {
            return Some(Duration::ZERO);
        };
        if !limited.is_sender(&allotment, vms, now) {
            return None;
        }
        if limited.may_verify {
            return Some(Duration::ZERO);
        }
        let sent = &limited.sent;
        let counted = sent.time_until_below(allotment.per_window, allotment.window, now);
        if limited.is_stale(now) {
            return Some(counted);
        }
        let paced = limited.pacer.adapted(allotment, now).wait(now);
        Some(paced.max(counted))
    }

    /// Records a send to `upstream`.
    pub fn record_send(&mut self, upstream: &id::Upstream, now: time::Moment) {
        let vms = self.senders.count();
        let Some(limited) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let Some(allotment) = limited.allotment(vms, &self.options, now) else {
            return;
        };
        limited.may_verify = false;
        limited.pacer = limited.pacer.adapted(allotment, now);
        limited.pacer.record_send(now);
        limited.sent.record(allotment.window, now);
    }

    /// The entry of `upstream`, updated with `status`, which states a limit.
    fn entry(
        &mut self,
        upstream: &id::Upstream,
        status: Status,
        now: time::Moment,
    ) -> &mut Limited {
        let (senders, options) = (&self.senders, &self.options);
        let known = self.upstreams.entry(upstream.clone());
        let limited =
            known.or_insert_with(|| Limited::new(upstream, status, senders, options, now));
        let last = limited.status.stated();
        let was_stale = limited.is_stale(now);
        limited.status = status;
        limited.confirmed = now;
        let has_fallen = last
            .zip(status.stated())
            .is_some_and(|(last, rate)| rate < last && is_reported_change(last, rate));
        // Sends under a higher rate would delay all senders until the same moment.
        if has_fallen {
            limited.sent = RecentSends::default();
        }
        if last.is_none() || was_stale || has_fallen {
            limited.restart_pacer(senders.count(), options, now);
        }
        limited
    }
}

impl Limited {
    fn new(
        upstream: &id::Upstream,
        status: Status,
        senders: &Senders,
        options: &Options,
        now: time::Moment,
    ) -> Self {
        let rank = senders.rank(upstream);
        Self {
            status,
            stamp: 0,
            learned: now,
            confirmed: now,
            unstated: 0,
            may_verify: false,
            is_news: false,
            is_confirmed_here: false,
            reported: time::Moment::default(),
            rank,
            pacer: new_pacer(status, rank, senders.count(), options, now),
            sent: RecentSends::default(),
        }
    }

    /// Whether nobody has confirmed the limit for so long that its senders may be gone.
    fn is_stale(&self, now: time::Moment) -> bool {
        now.since(self.confirmed) > STALE_AFTER
    }

    /// The parts of the rate in force for each of `vms` VMs.
    fn allotment(&self, vms: usize, options: &Options, now: time::Moment) -> Option<Allotment> {
        let rate = self.status.in_force(now)?;
        Some(Allotment::new(rate, vms, options))
    }

    /// Whether this VM may send. While nobody confirms the limit, all VMs take turns.
    fn is_sender(&self, allotment: &Allotment, vms: usize, now: time::Moment) -> bool {
        let elapsed = now.since(self.confirmed + STALE_AFTER);
        self.rank.is_some_and(|rank| {
            if self.is_stale(now) {
                allotment.includes_in_turn(rank, vms, elapsed)
            } else {
                allotment.includes(rank)
            }
        })
    }

    fn restart_pacer(&mut self, vms: usize, options: &Options, now: time::Moment) {
        self.pacer = new_pacer(self.status, self.rank, vms, options, now);
    }

    fn end(&mut self, rate: Rate, now: time::Moment) {
        self.status = Status::Ended { rate, since: now };
        self.learned = now;
        self.unstated = 0;
        self.may_verify = false;
        self.is_confirmed_here = false;
    }

    /// Whether the limit ended so long ago that all VMs know it.
    fn is_forgotten(&self, now: time::Moment) -> bool {
        match self.status {
            Status::Limited(_) => false,
            Status::Ended { since, .. } => now.since(since) > END_KEPT,
        }
    }

    fn notice(&self, upstream: &id::Upstream) -> Notice {
        Notice {
            upstream: upstream.clone(),
            rate: self.status.stated(),
            stamp: self.stamp,
        }
    }
}

fn new_pacer(
    status: Status,
    rank: Option<usize>,
    vms: usize,
    options: &Options,
    now: time::Moment,
) -> Pacer {
    let (Status::Limited(rate) | Status::Ended { rate, .. }) = status;
    let rate = status.in_force(now).unwrap_or(rate);
    Pacer::start(Allotment::new(rate, vms, options), rank, now)
}

fn is_reported_change(last: Rate, rate: Rate) -> bool {
    let (last, rate) = (last.per_second(), rate.per_second());
    (rate - last).abs() > last * REPORTED_CHANGE
}
