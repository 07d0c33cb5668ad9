//! Response quality of the old and new versions during rollouts.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use cloverpost_core::directory::Version;
use cloverpost_core::evidence::{Baseline, Counts, Digest, Floor, Ledger, Row, Source};
use cloverpost_core::exposure::{Comparison, Outcome, Regression};
use cloverpost_core::{exposure, id, rollout};

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

/// Latency of a response, compared with the old version.
#[derive(Clone, Copy, Debug)]
pub struct Latency {
    /// Whether the response is slow.
    pub is_slow: bool,
    /// Whether it is slower than those of an idle old version; `None` if these are not known.
    pub is_above_floor: Option<bool>,
}

/// Counts of good and bad responses in open rollouts, from this VM and its peers.
#[derive(Debug)]
pub struct Evidence {
    own: Source,
    /// Good and bad responses.
    ledger: Ledger<exposure::Key>,
    /// Responses that upstreams themselves completed or failed.
    failures: Ledger<exposure::Key>,
    /// Streams by the interval between their events; those above the floor count as fails.
    pace: Ledger<exposure::Key>,
    baseline: HashMap<TimingKey, Baseline>,
    /// Intervals between the events of an idle old version.
    floors: HashMap<TimingKey, Floor>,
    /// Rollouts in which this VM found the new version worse.
    regressed: BTreeSet<(id::Pool, Version)>,
}

impl Evidence {
    /// Creates empty evidence for the process `own`.
    pub fn new(own: Source) -> Self {
        Self {
            own,
            ledger: Ledger::default(),
            failures: Ledger::default(),
            pace: Ledger::default(),
            baseline: HashMap::new(),
            floors: HashMap::new(),
            regressed: BTreeSet::new(),
        }
    }

    /// Compares `took` with the baseline of the old version. Updates the baseline if `is_old`.
    pub fn compare_latency(&mut self, key: TimingKey, took: Duration, is_old: bool) -> Latency {
        let is_above_floor = match key.span {
            // The time to the head depends on which prompts an upstream has cached.
            exposure::Span::Head => None,
            exposure::Span::Events => self.compare_with_floor(&key, took, is_old),
        };
        let took = took.as_secs_f64();
        let baseline = self.baseline.entry(key).or_insert(Baseline::new(took));
        Latency {
            is_slow: baseline.is_slow(took, is_old),
            is_above_floor,
        }
    }

    fn compare_with_floor(
        &mut self,
        key: &TimingKey,
        took: Duration,
        is_old: bool,
    ) -> Option<bool> {
        let floor = self.floors.entry(key.clone()).or_default();
        let is_above = floor.is_exceeded_by(took.as_secs_f32());
        if is_old {
            floor.record(took.as_secs_f32());
        }
        is_above
    }

    /// Counts a response to the first or a further attempt of a request.
    pub fn count(&mut self, key: &exposure::Key, outcome: Outcome, is_first_attempt: bool) {
        self.ledger.record(&self.own, key, outcome.is_good());
        if let Some(succeeded) = outcome.succeeded(is_first_attempt) {
            self.failures.record(&self.own, key, succeeded);
        }
    }

    /// Counts a response by its latency.
    pub fn count_pace(&mut self, key: &exposure::Key, latency: Latency) {
        if let Some(is_above_floor) = latency.is_above_floor {
            self.pace.record(&self.own, key, !is_above_floor);
        }
    }

    /// Merges the counts of good and bad responses at another VM.
    pub fn merge(&mut self, vm: id::Vm, digest: Digest<exposure::Key>) {
        merge(&mut self.ledger, vm, digest);
    }

    /// Merges the counts of failures at another VM.
    pub fn merge_failures(&mut self, vm: id::Vm, digest: Digest<exposure::Key>) {
        merge(&mut self.failures, vm, digest);
    }

    /// Merges the counts of streams by their pace at another VM.
    pub fn merge_pace(&mut self, vm: id::Vm, digest: Digest<exposure::Key>) {
        merge(&mut self.pace, vm, digest);
    }

    /// Returns the counts at this VM in the rollout `order` of `service`, one message for each kind
    /// that has any.
    pub fn digests(&self, service: &id::Pool, order: Version) -> Vec<exposure::Message> {
        let kinds: [(_, fn(_) -> _); 3] = [
            (&self.ledger, exposure::Message::Evidence),
            (&self.failures, exposure::Message::Failures),
            (&self.pace, exposure::Message::Pace),
        ];
        let digests =
            kinds.map(|(ledger, message)| (digest(ledger, &self.own, service, order), message));
        let counted = digests.into_iter().filter(|(one, _)| !one.rows.is_empty());
        counted.map(|(digest, message)| message(digest)).collect()
    }

    /// Returns the number of counted responses of the new version, over all merged VMs.
    pub fn new_version_responses(&self, service: &id::Pool, order: Version) -> u64 {
        let keys = self.keys(service, order);
        let new = keys.filter(|key| key.side != exposure::Side::Old);
        new.map(|key| self.ledger.total(key).total()).sum()
    }

    /// Returns the comparison in which the new version in the rollout `order` of `service` is
    /// worse, over the whole rollout or since it receives all traffic. Records the rollout as
    /// regressed if there is one.
    pub fn check_regression(&mut self, service: &id::Pool, order: Version) -> Option<Regression> {
        let keys = self.route_keys(service, order);
        let whole = self.whole_comparison(&keys);
        let at_full_traffic = self.comparison(&keys, &[exposure::Side::Whole]);
        let found = whole.regression().or_else(|| at_full_traffic.regression());
        if let Some(regression) = found
            && self.regressed.insert((service.clone(), order))
        {
            log::info!(
                service = service.as_str(), order:%, regression:?,
                evidence = self.summary(service, order).as_str();
                "the new version of a rollout is worse"
            );
        }
        found
    }

    /// Returns whether the evidence on the rollout `order` of `service` shows that the new version is
    /// as good as the old one. `vms` is the number of VMs that may have evidence.
    pub fn is_as_good(&self, service: &id::Pool, order: Version, vms: u32) -> bool {
        let keys = self.route_keys(service, order);
        self.whole_comparison(&keys)
            .is_as_good(self.coverage(service, order, vms))
    }

    /// Returns the part of `vms` whose evidence is known, from 0 to 1.
    fn coverage(&self, service: &id::Pool, order: Version, vms: u32) -> f64 {
        let rows = self.ledger.digest();
        let of_rollout = rows.filter(|(_, key, _)| key.service == *service && key.order == order);
        let known: BTreeSet<_> = of_rollout.map(|(source, ..)| &source.vm).collect();
        let known = u32::try_from(known.len()).unwrap_or(u32::MAX);
        (f64::from(known.max(1)) / f64::from(vms.max(1))).min(1.0)
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
            let failed = self.failures.total(key).fails;
            let pace = self.pace.total(key);
            let pace = match pace.total() {
                0 => String::new(),
                total => format!(", {} above the floor of {total}", pace.fails),
            };
            format!(
                "{route} {span}{side} {failed} failed, {} slow or missing, of {}{pace}",
                counts.fails.saturating_sub(failed),
                counts.total(),
            )
        });
        let keys = self.route_keys(service, order);
        let losses = self.whole_comparison(&keys).expected_losses();
        let rows = rows.chain([format!("expected losses {losses:.2}")]);
        rows.collect::<Vec<_>>().join("; ")
    }

    /// Returns whether this VM has found the new version of the rollout `order` worse.
    pub fn is_regressed(&self, service: &id::Pool, order: Version) -> bool {
        !self.regressed.is_empty() && self.regressed.contains(&(service.clone(), order))
    }

    /// Drops rollouts other than `open`.
    pub fn retain(&mut self, open: &BTreeSet<(id::Pool, Version)>) {
        let is_open = |service: &id::Pool, order: Version| open.contains(&(service.clone(), order));
        self.ledger.retain(|key| is_open(&key.service, key.order));
        self.failures.retain(|key| is_open(&key.service, key.order));
        self.pace.retain(|key| is_open(&key.service, key.order));
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

    /// Returns the comparison of the whole rollout by `route_keys`.
    fn whole_comparison(&self, route_keys: &[exposure::Key]) -> Comparison {
        Comparison {
            // With all traffic, the new version is as loaded as the old one was.
            pace: evidence_by_route(&self.pace, route_keys, &[exposure::Side::Trial]),
            ..self.comparison(route_keys, &[exposure::Side::Trial, exposure::Side::Whole])
        }
    }

    /// Returns the comparison by `route_keys`, counting the new version over `new_sides`, without the
    /// pace of streams.
    fn comparison(&self, route_keys: &[exposure::Key], new_sides: &[exposure::Side]) -> Comparison {
        Comparison {
            responses: evidence_by_route(&self.ledger, route_keys, new_sides),
            failures: evidence_by_route(&self.failures, route_keys, new_sides),
            pace: Vec::new(),
        }
    }
}

fn merge(ledger: &mut Ledger<exposure::Key>, vm: id::Vm, digest: Digest<exposure::Key>) {
    let source = Source {
        vm,
        process: digest.process,
    };
    for row in digest.rows {
        ledger.merge(&source, &row.key, row.counts);
    }
}

fn digest(
    ledger: &Ledger<exposure::Key>,
    own: &Source,
    service: &id::Pool,
    order: Version,
) -> Digest<exposure::Key> {
    let rows = ledger
        .digest()
        .filter(|(source, key, _)| *source == own && key.service == *service && key.order == order);
    Digest {
        process: own.process,
        rows: rows
            .map(|(_, key, counts)| Row {
                key: key.clone(),
                counts,
            })
            .collect(),
    }
}

/// Returns the evidence per key of `route_keys`, counting the new version over `new_sides`.
fn evidence_by_route(
    ledger: &Ledger<exposure::Key>,
    route_keys: &[exposure::Key],
    new_sides: &[exposure::Side],
) -> Vec<rollout::Evidence> {
    let total = |key: &exposure::Key, side| {
        let key = key.clone();
        ledger.total(&exposure::Key { side, ..key })
    };
    let evidence = route_keys.iter().map(|key| rollout::Evidence {
        new: new_sides.iter().fold(Counts::default(), |sum, side| {
            sum.saturating_add(total(key, *side))
        }),
        old: total(key, exposure::Side::Old),
    });
    evidence.collect()
}
