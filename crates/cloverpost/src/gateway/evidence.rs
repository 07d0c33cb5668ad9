//! How the two sides of roll-outs answer.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use cloverpost_core::directory::Version;
use cloverpost_core::evidence::{Counts, Digest, Ledger, Row, Source};
use cloverpost_core::{exposure, id, rollout};

/// Multiple of the median time from which on it counts against its version. Prompts
/// differ in length by as much, but on both versions alike.
const SLOW: f64 = 2.5;
/// Least time above the median that counts, in seconds. A new version's connections
/// are new, and against a median of a millisecond opening one looks slow.
const LEAST: f64 = 0.03;
/// Step by which the median moves with each time, as a part of it. A mean would not
/// do: a few long prompts raise it so far that answers eight times as slow pass.
const STEP: f64 = 0.03;
/// Share of the roll-outs of good versions that may be halted. To halt a good one
/// delays it; to miss a bad one harms every caller, and with 0.01 one in three of those
/// that answered half their requests eight times as slow was missed.
const FALSE_HALT: f64 = 0.1;

/// What of an answer is timed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Span {
    /// From the request to the head.
    Head,
    /// From event to event of a stream, on the mean. A version may begin its answers
    /// as fast as ever and then crawl.
    Event,
}

/// Counts of good and bad answers of open roll-outs, of this VM and of those that
/// told it theirs.
#[derive(Debug)]
pub struct Evidence {
    own: Source,
    ledger: Ledger<exposure::Key>,
    usual: HashMap<(Span, id::Entry, Option<id::Model>), f64>,
    /// Roll-outs that were found bad here.
    worse: BTreeSet<(id::Pool, Version)>,
}

impl Evidence {
    /// Evidence of the process `own`, which has seen nothing.
    pub fn new(own: Source) -> Self {
        Self {
            own,
            ledger: Ledger::default(),
            usual: HashMap::new(),
            worse: BTreeSet::new(),
        }
    }

    /// Notes a time; whether it is long against the usual.
    pub fn time(
        &mut self,
        span: Span,
        route: &id::Entry,
        model: Option<&id::Model>,
        took: Duration,
    ) -> bool {
        let took = took.as_secs_f64();
        let key = (span, route.clone(), model.cloned());
        let usual = self.usual.entry(key).or_insert(took);
        let is_slow = took > *usual * SLOW && took > *usual + LEAST;
        *usual *= if took > *usual {
            1.0 + STEP
        } else {
            1.0 - STEP
        };
        is_slow
    }

    /// Counts an answer.
    pub fn count(&mut self, key: &exposure::Key, good: bool) {
        self.ledger.record(&self.own, key, good);
    }

    /// Takes in what another VM counted.
    pub fn merge(&mut self, vm: id::Vm, digest: Digest<exposure::Key>) {
        let source = Source {
            vm,
            process: digest.process,
        };
        for row in digest.rows {
            self.ledger.merge(&source, &row.key, row.counts);
        }
    }

    /// What this VM counted of the roll-out `order` of `service`.
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

    /// Answers of the new version that are known.
    pub fn answers(&self, service: &id::Pool, order: Version) -> u64 {
        let keys = self.keys(service, order);
        let new = keys.filter(|key| key.side != exposure::Side::Old);
        new.map(|key| self.ledger.total(key).total()).sum()
    }

    /// Judges the roll-out `order` of `service` on all that is known; whether the
    /// new version answers worse, over its whole time or since it gets everything.
    pub fn judge(&mut self, service: &id::Pool, order: Version) -> bool {
        let routes = self.routes(service, order);
        let ever = self.sides(&routes, &[exposure::Side::Trial, exposure::Side::Whole]);
        let lately = self.sides(&routes, &[exposure::Side::Whole]);
        let is_worse = rollout::is_worse_on_any(&ever, FALSE_HALT / 2.0)
            || rollout::is_worse_on_any(&lately, FALSE_HALT / 2.0);
        if is_worse {
            self.worse.insert((service.clone(), order));
        }
        is_worse
    }

    /// What is known of the roll-out `order` of `service`, for people.
    pub fn summary(&self, service: &id::Pool, order: Version) -> String {
        let rows = self.keys(service, order).map(|key| {
            let counts = self.ledger.total(key);
            let side = match key.side {
                exposure::Side::Old => "old",
                exposure::Side::Trial => "new",
                exposure::Side::Whole => "new with all",
            };
            let route = &key.route;
            format!("{route} {side} {}/{} bad", counts.fails, counts.total())
        });
        rows.collect::<Vec<_>>().join(", ")
    }

    /// Whether the last judgement found the new version worse.
    pub fn is_worse(&self, service: &id::Pool, order: Version) -> bool {
        !self.worse.is_empty() && self.worse.contains(&(service.clone(), order))
    }

    /// Forgets roll-outs other than `open`.
    pub fn retain(&mut self, open: &BTreeSet<(id::Pool, Version)>) {
        let is_open = |service: &id::Pool, order: Version| open.contains(&(service.clone(), order));
        self.ledger.retain(|key| is_open(&key.service, key.order));
        self.worse
            .retain(|(service, order)| is_open(service, *order));
    }

    fn keys(&self, service: &id::Pool, order: Version) -> impl Iterator<Item = &exposure::Key> {
        let keys = self.ledger.keys();
        keys.filter(move |key| key.service == *service && key.order == order)
    }

    /// One key of each route on which anything is known of the roll-out.
    fn routes(&self, service: &id::Pool, order: Version) -> Vec<exposure::Key> {
        let mut routes: Vec<_> = self.keys(service, order).cloned().collect();
        routes.dedup_by(|one, other| one.route == other.route);
        routes
    }

    /// Both versions on each of `routes`; of the new one, what it answered on `new`.
    fn sides(&self, routes: &[exposure::Key], new: &[exposure::Side]) -> Vec<rollout::Evidence> {
        let total = |route: &exposure::Key, side| {
            let route = route.clone();
            self.ledger.total(&exposure::Key { side, ..route })
        };
        let evidence = routes.iter().map(|route| rollout::Evidence {
            new: new
                .iter()
                .fold(Counts::default(), |sum, side| sum.plus(total(route, *side))),
            old: total(route, exposure::Side::Old),
        });
        evidence
            .filter(|evidence| evidence.new.total() > 0)
            .collect()
    }
}
