//! Aggregates verdicts and recomputes the plans, on the control thread.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::{catalogue, evidence, id, overload, plan, rollout};
use cloverpost_wire::Message;
use tokio::sync::{mpsc, watch};
use tokio::time::{self, MissedTickBehavior};

use crate::control::Router;
use crate::control::spread::Current;
use crate::front;
use crate::plan::{Event, Halted, Selections};

/// Maximum rows of a digest; the rest is sent at the next tick.
const MAX_DIGEST_ROWS: usize = 1_024;

/// Options of a [`Planner`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Interval at which plans are recomputed and digests sent.
    pub interval: Duration,
    /// Ticks between full digests, for peers that missed incremental ones.
    pub ticks_per_full_digest: u32,
    /// How plans are selected.
    pub plan: plan::Options,
    /// How roll-outs are assessed.
    pub rollout: rollout::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(2),
            ticks_per_full_digest: 10,
            plan: plan::Options::default(),
            rollout: rollout::Options::default(),
        }
    }
}

/// Owns the rating counts and latency estimates of the entries.
///
/// Selects plans from them and halts roll-outs of worse versions.
pub struct Planner {
    front: front::State,
    current: watch::Receiver<Current>,
    events: mpsc::Receiver<Event>,
    router: Router,
    local: evidence::Source,
    options: Options,
    ledger: evidence::Ledger,
    estimates: plan::Estimates,
    rater: plan::Rater,
    estimators: BTreeMap<id::Entry, overload::Estimator>,
    changed_keys: BTreeSet<evidence::Key>,
    ticks_since_full_digest: u32,
    halted: Halted,
}

impl Planner {
    /// Creates a planner without evidence; `None` if the receiver was already taken.
    #[must_use]
    pub fn new(
        front: front::State,
        current: watch::Receiver<Current>,
        router: Router,
        process: id::Process,
        options: Options,
    ) -> Option<Self> {
        Some(Self {
            events: front.ratings.take_events()?,
            local: evidence::Source {
                vm: front.settings.vm.clone(),
                process,
            },
            front,
            current,
            router,
            options,
            ledger: evidence::Ledger::default(),
            estimates: plan::Estimates::default(),
            rater: plan::Rater::default(),
            estimators: BTreeMap::new(),
            changed_keys: BTreeSet::new(),
            ticks_since_full_digest: 0,
            halted: Halted::default(),
        })
    }

    /// Runs until a channel closes.
    pub async fn run(mut self) {
        let mut ticks = time::interval(self.options.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                changed = self.current.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.rebuild_selections();
                }
                _ = ticks.tick() => {
                    self.send_digest();
                    self.assess();
                    self.rebuild_selections();
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Answered { entry, took } => {
                self.estimators.entry(entry).or_default().record(took);
            }
            Event::Rated { key, passed, took } => {
                self.rater.record_response(took);
                self.record_verdict(&key, passed);
            }
            Event::RatingFailed => {
                self.rater.record_timeout();
                self.front.metrics.unrated.inc();
            }
            Event::PeerCounts(from, digest) => self.merge(from, digest),
            Event::PeerHalts(halts) => {
                for halt in halts {
                    self.halt(halt);
                }
            }
        }
        let usable = i64::from(self.rater.is_responsive());
        self.front.metrics.rater_usable.set(usable);
    }

    fn record_verdict(&mut self, key: &evidence::Key, passed: bool) {
        self.ledger.record(&self.local, key, passed);
        self.estimates.record(key, evidence::Counts::single(passed));
        self.changed_keys.insert(key.clone());
        let verdict = if passed { "pass" } else { "fail" };
        let labels = [key.entry.as_str(), verdict];
        self.front.metrics.rated.with_label_values(&labels).inc();
    }

    /// Merges the counts of a peer.
    ///
    /// Entries missing from the catalogue are ignored, which bounds the ledger.
    fn merge(&mut self, from: id::Vm, digest: evidence::Digest) {
        let source = evidence::Source {
            vm: from,
            process: digest.process,
        };
        let catalogue = Arc::clone(&self.current.borrow().catalogue);
        for row in digest.rows {
            if catalogue.entry(&row.key.entry).is_none() {
                continue;
            }
            let new_counts = self.ledger.merge(&source, &row.key, row.counts);
            if new_counts.total() > 0 {
                self.estimates.record(&row.key, new_counts);
            }
        }
    }

    /// Sends peers the local counts that changed, and periodically all of them.
    fn send_digest(&mut self) {
        if self.ticks_since_full_digest == 0 {
            self.broadcast_halts();
            let all = self.ledger.digest();
            let local = all.filter(|(source, _, _)| **source == self.local);
            self.changed_keys
                .extend(local.map(|(_, key, _)| key.clone()));
        }
        self.ticks_since_full_digest =
            (self.ticks_since_full_digest + 1) % self.options.ticks_per_full_digest;
        let keys: Vec<_> = self
            .changed_keys
            .iter()
            .take(MAX_DIGEST_ROWS)
            .cloned()
            .collect();
        if keys.is_empty() {
            return;
        }
        let row = |key: evidence::Key| {
            self.changed_keys.remove(&key);
            evidence::Row {
                counts: self.ledger.counts_of(&self.local, &key),
                key,
            }
        };
        let rows = keys.into_iter().map(row).collect();
        let process = self.local.process;
        let digest = evidence::Digest { process, rows };
        self.router.send_all(&Message::Evidence(digest));
    }

    /// Halts each version that is worse than the one it replaces.
    ///
    /// Every VM assesses the merged ratings. The first one with enough evidence
    /// broadcasts the halt, so VMs that missed some ratings apply it too.
    fn assess(&mut self) {
        let catalogue = Arc::clone(&self.current.borrow().catalogue);
        for entry in catalogue.entries() {
            let Some(replaces) = &entry.replaces else {
                continue;
            };
            let evidence = rollout::Evidence {
                new: self.total_counts(&entry.name),
                old: self.total_counts(replaces),
            };
            let baseline = rollout::Evidence::default();
            let row = rollout::Row::new(entry.name.clone(), replaces.clone(), baseline);
            let verdict = rollout::assess(&row, evidence, Duration::ZERO, &self.options.rollout);
            if verdict == rollout::Verdict::Halt && self.halt(rollout::Halt::from(entry)) {
                self.broadcast_halts();
            }
        }
    }

    fn halt(&mut self, halt: rollout::Halt) -> bool {
        let message = format!("halted `{}` at version {}", halt.entry, halt.version);
        let is_new = self.halted.insert(halt);
        if is_new {
            log::warn!("{message}");
            self.front.metrics.halted.inc();
            let halted = Arc::new(self.halted.clone());
            self.front
                .snapshot
                .update(|snapshot| snapshot.halted = halted);
        }
        is_new
    }

    fn broadcast_halts(&self) {
        let halts = self.halted.all();
        if !halts.is_empty() {
            self.router.send_all(&Message::Halts(halts));
        }
    }

    /// Rating counts of the first answers of `entry`, summed over all VMs.
    fn total_counts(&self, entry: &id::Entry) -> evidence::Counts {
        let is_first_answer = |key: &evidence::Key| key.entry == *entry && key.after.is_none();
        let counts = self
            .ledger
            .digest()
            .filter(|(_, key, _)| is_first_answer(key));
        counts.fold(evidence::Counts::default(), |sum, (_, _, counts)| {
            sum.saturating_add(counts)
        })
    }

    fn rebuild_selections(&self) {
        let catalogue = Arc::clone(&self.current.borrow().catalogue);
        let mut selections = Selections::default();
        for organisation in catalogue.organisations() {
            for class in catalogue.classes() {
                if let Some(selection) = self.select(&catalogue, organisation, class) {
                    selections.set(organisation.name.clone(), class.name.clone(), selection);
                }
            }
        }
        self.front
            .snapshot
            .update(|snapshot| snapshot.selections = Arc::new(selections));
    }

    fn select(
        &self,
        catalogue: &catalogue::Catalogue,
        organisation: &catalogue::Organisation,
        class: &catalogue::Class,
    ) -> Option<plan::Selection> {
        let name = &organisation.name;
        let goal = plan::Goal::from(class);
        let available = catalogue
            .permitted(organisation, &class.name)
            .filter(|entry| {
                let is_serving =
                    entry.state.accepts_new_requests() && entry.kind == catalogue::Kind::Model;
                is_serving && self.halted.allows(entry)
            });
        let candidates: Vec<_> = available.map(|entry| self.candidate(entry, name)).collect();
        let estimate_after = |second: &plan::Candidate, failed: &plan::Candidate| {
            let declared = catalogue.entry(&second.entry);
            let declared = declared.map_or(1.0, |entry| entry.quality.share());
            self.estimates
                .estimate_after_failure(&second.entry, &failed.entry, name, declared)
        };
        let options = &self.options.plan;
        let plan = plan::select(&candidates, estimate_after, &goal, &self.rater, options)?;
        let selection = plan::Selection::new(plan, &candidates, &goal, &self.rater, options);
        Some(selection)
    }

    /// Builds the candidate of `entry` for `organisation`.
    ///
    /// Its cost is the price per thousand tokens, since all versions get the same prompts.
    fn candidate(
        &self,
        entry: &catalogue::Entry,
        organisation: &id::Organisation,
    ) -> plan::Candidate {
        let cost = u32::try_from(entry.price.get()).unwrap_or(u32::MAX);
        let estimator = self.estimators.get(&entry.name);
        let initial_share = self.options.rollout.shares.first().copied();
        plan::Candidate {
            entry: entry.name.clone(),
            cost: f64::from(cost),
            time: estimator
                .map(overload::Estimator::upper_bound)
                .unwrap_or_default(),
            estimate: self
                .estimates
                .estimate(&entry.name, organisation, entry.quality.share()),
            ratings: self.estimates.ratings(&entry.name),
            share: entry.replaces.as_ref().and(initial_share),
        }
    }
}
