//! Response quality of the old and new versions during rollouts.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use cloverpost_core::directory::Version;
use cloverpost_core::evidence::{Baseline, Counts, Digest, Ledger, Row, Source};
use cloverpost_core::{exposure, id, rollout};

/// Upper bound on the probability of halting a rollout of a good version. A false halt only delays
/// a rollout, whereas a missed bad version affects every caller. With 0.01, one in three versions
/// that answered half of their requests eight times slower was missed.
const MAX_FALSE_HALT_RATE: f64 = 0.2;

/// Key by which response times are compared.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TimingKey {
    /// Phase of the response.
    pub span: exposure::Span,
    /// Route of the request.
    pub route: id::Entry,
    /// Model that responded, if the router chose it.
    pub model: Option<id::Model>,
    /// Binary logarithm of the length on which the time depends. Lengths within a route vary a
    /// hundredfold: against one median for all, one good answer in seven would look slow.
    pub size: u32,
}

/// Counts of good and bad responses in open rollouts, from this VM and its peers.
#[derive(Debug)]
pub struct Evidence {
    own: Source,
    ledger: Ledger<exposure::Key>,
    baseline: HashMap<TimingKey, Baseline>,
    /// Rollouts in which this VM found the new version worse.
    regressed: BTreeSet<(id::Pool, Version)>,
}

impl Evidence {
    /// Creates empty evidence for the process `own`.
    pub fn new(own: Source) -> Self {
        Self {
            own,
            ledger: Ledger::default(),
            baseline: HashMap::new(),
            regressed: BTreeSet::new(),
        }
    }

    /// Returns whether `took` is slow compared with the baseline of the old version. Updates the
    /// baseline if `is_old`.
    pub fn is_slow(&mut self, key: TimingKey, took: Duration, is_old: bool) -> bool {
        let took = took.as_secs_f64();
        let baseline = self.baseline.entry(key).or_insert(Baseline::new(took));
        baseline.is_slow(took, is_old)
    }

    /// Counts a response.
    pub fn count(&mut self, key: &exposure::Key, good: bool) {
        self.ledger.record(&self.own, key, good);
    }

    /// Merges the counts of another VM.
    pub fn merge(&mut self, vm: id::Vm, digest: Digest<exposure::Key>) {
        let source = Source {
            vm,
            process: digest.process,
        };
        for row in digest.rows {
            self.ledger.merge(&source, &row.key, row.counts);
        }
    }

    /// Returns the counts of this VM for the rollout `order` of `service`.
    pub fn digest(&self, service: &id::Pool, order: Version) -> Digest<exposure::Key> {
        let own = self.ledger.digest().filter(|(source, key, _)| {
            **source == self.own && key.service == *service && key.order == order
        });
        Digest {
            process: self.own.process,
            rows: own
                .map(|(_, key, counts)| Row {
                    key: key.clone(),
                    counts,
                })
                .collect(),
        }
    }

    /// Returns the number of counted responses of the new version, over all merged VMs.
    pub fn new_version_responses(&self, service: &id::Pool, order: Version) -> u64 {
        let keys = self.keys(service, order);
        let new = keys.filter(|key| key.side != exposure::Side::Old);
        new.map(|key| self.ledger.total(key).total()).sum()
    }

    /// Returns whether the new version in the rollout `order` of `service` responds worse, over
    /// the whole rollout or since it receives all traffic. Records the rollout as regressed if so.
    pub fn check_regression(&mut self, service: &id::Pool, order: Version) -> bool {
        let keys = self.route_keys(service, order);
        let overall =
            self.evidence_by_route(&keys, &[exposure::Side::Trial, exposure::Side::Whole]);
        let at_full_traffic = self.evidence_by_route(&keys, &[exposure::Side::Whole]);
        let is_worse = rollout::is_worse_on_any(&overall, MAX_FALSE_HALT_RATE / 2.0)
            || rollout::is_worse_on_any(&at_full_traffic, MAX_FALSE_HALT_RATE / 2.0);
        if is_worse {
            self.regressed.insert((service.clone(), order));
        }
        is_worse
    }

    /// Returns a human-readable summary of the rollout `order` of `service`.
    pub fn summary(&self, service: &id::Pool, order: Version) -> String {
        let rows = self.keys(service, order).map(|key| {
            let counts = self.ledger.total(key);
            let side = match key.side {
                exposure::Side::Old => "old",
                exposure::Side::Trial => "new",
                exposure::Side::Whole => "new with all",
            };
            let span = match key.span {
                exposure::Span::Head => "",
                exposure::Span::Events => "events ",
            };
            let route = &key.route;
            format!(
                "{route} {span}{side} {}/{} bad",
                counts.fails,
                counts.total()
            )
        });
        rows.collect::<Vec<_>>().join(", ")
    }

    /// Returns whether this VM has found the new version of the rollout `order` worse.
    pub fn is_regressed(&self, service: &id::Pool, order: Version) -> bool {
        !self.regressed.is_empty() && self.regressed.contains(&(service.clone(), order))
    }

    /// Drops rollouts other than `open`.
    pub fn retain(&mut self, open: &BTreeSet<(id::Pool, Version)>) {
        let is_open = |service: &id::Pool, order: Version| open.contains(&(service.clone(), order));
        self.ledger.retain(|key| is_open(&key.service, key.order));
        self.regressed
            .retain(|(service, order)| is_open(service, *order));
    }

    fn keys(&self, service: &id::Pool, order: Version) -> impl Iterator<Item = &exposure::Key> {
        let keys = self.ledger.keys();
        keys.filter(move |key| key.service == *service && key.order == order)
    }

    /// Returns one key for each route and span with counted responses.
    fn route_keys(&self, service: &id::Pool, order: Version) -> Vec<exposure::Key> {
        let mut keys: Vec<_> = self.keys(service, order).cloned().collect();
        keys.dedup_by(|a, b| (&a.route, a.span) == (&b.route, b.span));
        keys
    }

    /// Returns the evidence per key of `route_keys`, counting the new version over `new_sides`.
    fn evidence_by_route(
        &self,
        route_keys: &[exposure::Key],
        new_sides: &[exposure::Side],
    ) -> Vec<rollout::Evidence> {
        let total = |key: &exposure::Key, side| {
            let key = key.clone();
            self.ledger.total(&exposure::Key { side, ..key })
        };
        let evidence = route_keys.iter().map(|key| rollout::Evidence {
            new: new_sides.iter().fold(Counts::default(), |sum, side| {
                sum.saturating_add(total(key, *side))
            }),
            old: total(key, exposure::Side::Old),
        });
        evidence
            .filter(|evidence| evidence.new.total() > 0)
            .collect()
    }
}
