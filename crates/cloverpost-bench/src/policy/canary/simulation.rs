//! Simulation of requests, ratings and the exchange of digests between VMs.

use std::time::Duration;

use cloverpost_core::{evidence, rollout, time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::policy::Policy;
use crate::policy::canary::setup::{OLD_QUALITY, Setup};
use crate::policy::canary::tally::Tally;
use crate::policy::canary::vm::{LEASE_TTL, Vm};
use crate::policy::event_queue::EventQueue;

/// Number of VMs.
const VMS: usize = 9;

/// Requests per second.
const REQUEST_RATE: f64 = 20.0;

/// Fraction of the old version's answers that are rated. For the new version, the fraction is
/// divided by its share, so that the number of its ratings is nearly independent of the share.
const RATED_FRACTION: f64 = 0.1;

/// Fraction of ratings that are lost.
const LOST_RATINGS: f64 = 0.2;

/// Delay range of a rating in seconds.
const RATING_DELAY_SECS: (f64, f64) = (20.0, 120.0);

/// Interval between exchanges of digests.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between replacements of VMs.
const REPLACEMENT_INTERVAL: Duration = Duration::from_mins(1);

/// Share of the requests sent to a fixed canary.
const FIXED_SHARE: f64 = 0.1;

/// Interval between evaluations of a fixed canary.
const EVALUATION_INTERVAL: Duration = Duration::from_hours(1);

/// Drop of the pass rate above which a fixed canary is halted.
const MAX_PASS_RATE_DROP: f64 = 0.05;

enum Event {
    Arrive,
    Rating { vm: usize, new: bool, passed: bool },
    Exchange,
    EvaluateFixed,
    Replace { vm: usize },
}

/// State of a fixed canary: its share and the ratings of both versions.
#[derive(Default)]
struct FixedCanary {
    share: f64,
    new: evidence::Counts,
    old: evidence::Counts,
}

/// The state of one run.
pub(super) struct Simulation {
    setup: Setup,
    fixed: Option<FixedCanary>,
    options: rollout::Options,
    events: EventQueue<Event>,
    rng: ChaCha8Rng,
    vms: Vec<Vm>,
    /// The rollout row in the store.
    row: rollout::Row,
    /// When the lease of a failed holder expires; no VM holds it until then.
    lease_expires: time::Moment,
    tally: Tally,
}

impl Simulation {
    pub(super) fn new(setup: Setup, policy: Policy, seed: u64) -> Self {
        let start = time::Moment::default();
        let mut events = EventQueue::new();
        events.schedule(start, Event::Arrive);
        events.schedule(start + EXCHANGE_INTERVAL, Event::Exchange);
        events.schedule(start + EVALUATION_INTERVAL, Event::EvaluateFixed);
        if let Some(at) = setup.interruption {
            let mut at = start + at;
            for vm in 0..VMS {
                events.schedule(at, Event::Replace { vm });
                at = at + REPLACEMENT_INTERVAL;
            }
        }
        let entry = "new".parse().expect("valid name");
        let replaces = "old".parse().expect("valid name");
        let row = rollout::Row::new(entry, replaces, rollout::Evidence::default());
        let fixed = (policy == Policy::FixedCanary).then(|| FixedCanary {
            share: FIXED_SHARE,
            ..FixedCanary::default()
        });
        Self {
            setup,
            fixed,
            options: rollout::Options::default(),
            events,
            rng: ChaCha8Rng::seed_from_u64(seed),
            vms: (0..VMS)
                .map(|index| Vm::new(index, row.clone(), start))
                .collect(),
            row,
            lease_expires: start,
            tally: Tally::default(),
        }
    }

    pub(super) fn run(mut self) -> Tally {
        while let Some((now, event)) = self.events.pop() {
            if now.since_start() >= self.setup.duration {
                break;
            }
            match event {
                Event::Arrive => self.arrive(now),
                Event::Rating { vm, new, passed } => self.record_rating(vm, new, passed),
                Event::Exchange => self.exchange(now),
                Event::EvaluateFixed => self.evaluate_fixed(now),
                Event::Replace { vm } => self.replace(vm, now),
            }
        }
        self.tally
    }

    fn arrive(&mut self, now: time::Moment) {
        let uniform: f64 = self.rng.random();
        let gap = Duration::from_secs_f64(-(1.0 - uniform).ln() / REQUEST_RATE);
        self.events.schedule(now + gap, Event::Arrive);
        let vm = self.rng.random_range(0..VMS);
        let share = match &self.fixed {
            Some(fixed) => fixed.share,
            None => self.vms[vm].share(&self.options),
        };
        let new = self.rng.random_bool(share);
        let quality = if new {
            self.setup.quality_at(now.since_start())
        } else {
            OLD_QUALITY
        };
        self.tally.exposed += u32::from(quality < OLD_QUALITY);
        let passed = self.rng.random_bool(quality);
        let rated_fraction = if new {
            (RATED_FRACTION / share).min(1.0)
        } else {
            RATED_FRACTION
        };
        if self.rng.random_bool(rated_fraction) && !self.rng.random_bool(LOST_RATINGS) {
            let delay = Duration::from_secs_f64(
                self.rng
                    .random_range(RATING_DELAY_SECS.0..RATING_DELAY_SECS.1),
            );
            let rating = Event::Rating { vm, new, passed };
            self.events.schedule(now + delay, rating);
        }
    }

    fn record_rating(&mut self, vm: usize, new: bool, passed: bool) {
        if let Some(fixed) = &mut self.fixed {
            let counts = if new { &mut fixed.new } else { &mut fixed.old };
            *counts = counts.saturating_add(evidence::Counts::single(passed));
            return;
        }
        let entry = if new {
            self.row.entry.clone()
        } else {
            self.row.replaces.clone()
        };
        self.vms[vm].record_rating(&entry, passed);
    }

    /// Exchanges digests, reads the stored row and assesses the new version on every VM.
    fn exchange(&mut self, now: time::Moment) {
        self.events
            .schedule(now + EXCHANGE_INTERVAL, Event::Exchange);
        if self.fixed.is_some() {
            return;
        }
        self.exchange_digests();
        let halted = self.vms.iter().any(|vm| vm.halted);
        for index in 0..VMS {
            self.vms[index].update_row(&self.row, now);
            self.vms[index].halted |= halted;
            let verdict = self.vms[index].assess(now, &self.options);
            self.apply(index, verdict, now);
        }
        let share = self.vms[0].share(&self.options);
        self.tally.record_share(now.since_start(), share);
    }

    fn exchange_digests(&mut self) {
        let digests: Vec<Vec<_>> = self
            .vms
            .iter()
            .map(|vm| {
                let digest = vm.ledger.digest();
                let owned =
                    digest.map(|(source, key, counts)| (source.clone(), key.clone(), counts));
                owned.collect()
            })
            .collect();
        for vm in &mut self.vms {
            for (source, key, counts) in digests.iter().flatten() {
                vm.ledger.merge(source, key, *counts);
            }
        }
    }

    fn apply(&mut self, index: usize, verdict: rollout::Verdict, now: time::Moment) {
        let holds_lease = index == 0 && now >= self.lease_expires;
        match verdict {
            rollout::Verdict::Halt => {
                self.vms[index].halted = true;
                if holds_lease {
                    self.row = self.row.halted();
                }
                self.tally.halted_at.get_or_insert(now.since_start());
            }
            rollout::Verdict::Advance if holds_lease => {
                let next = self.row.advanced(self.vms[index].evidence(), &self.options);
                let decreased = next.share(&self.options) < self.row.share(&self.options);
                self.tally.share_decreases += u32::from(decreased);
                self.row = next;
            }
            rollout::Verdict::Wait | rollout::Verdict::Advance => {}
        }
    }

    /// Replaces a VM. The lease of a replaced holder has to expire first.
    fn replace(&mut self, vm: usize, now: time::Moment) {
        if vm == 0 {
            self.lease_expires = now + LEASE_TTL;
        }
        let before = self.vms[vm].share(&self.options);
        self.vms[vm].replace(self.row.clone(), now);
        let after = self.vms[vm].share(&self.options);
        self.tally.share_decreases += u32::from(after < before);
    }

    /// Evaluates a fixed canary: promotes or halts it.
    fn evaluate_fixed(&mut self, now: time::Moment) {
        self.events
            .schedule(now + EVALUATION_INTERVAL, Event::EvaluateFixed);
        let Some(fixed) = &mut self.fixed else {
            return;
        };
        if fixed.share <= 0.0 {
            return;
        }
        let degraded = pass_rate(fixed.new) < pass_rate(fixed.old) - MAX_PASS_RATE_DROP;
        fixed.share = if degraded { 0.0 } else { 1.0 };
        // The old version gets no requests after promotion, so its ratings are kept.
        fixed.new = evidence::Counts::default();
        let share = fixed.share;
        if degraded {
            self.tally.halted_at.get_or_insert(now.since_start());
        }
        self.tally.record_share(now.since_start(), share);
    }
}

fn pass_rate(counts: evidence::Counts) -> f64 {
    let number = |count: u64| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    number(counts.passes) / number(counts.total().max(1))
}
