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
        let keys = self.ledger.keys();
        let new = keys.filter(|key| key.is_new && key.service == *service && key.order == order);
        new.map(|key| self.ledger.total(key).total()).sum()
    }

    /// Judges the roll-out `order` of `service` on all that is known; whether the
    /// new version answers worse on any route.
    pub fn judge(&mut self, service: &id::Pool, order: Version) -> bool {
        let keys = self.ledger.keys();
        let new = keys.filter(|key| key.is_new && key.service == *service && key.order == order);
        let new: Vec<_> = new.cloned().collect();
        let mut found: Vec<_> = new.iter().map(|key| self.both(key)).collect();
        // What is a little worse everywhere shows on all routes together.
        let sum = found.iter().fold(rollout::Evidence::default(), plus);
        found.push(sum);
        let tests = u32::try_from(found.len()).unwrap_or(u32::MAX);
        let false_halt = FALSE_HALT / f64::from(tests);
        let mut found = found.into_iter();
        let is_worse = found.any(|evidence| rollout::is_worse(evidence, false_halt));
        if is_worse {
            self.worse.insert((service.clone(), order));
        }
        is_worse
    }

    /// What is known of the roll-out `order` of `service`, for people.
    pub fn summary(&self, service: &id::Pool, order: Version) -> String {
        let keys = self.ledger.keys();
        let of = keys.filter(|key| key.service == *service && key.order == order);
        let rows = of.map(|key| {
            let counts = self.total(key);
            let side = if key.is_new { "new" } else { "old" };
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

    /// Both sides of the roll-out on the route of `key`, which is the new one's.
    fn both(&self, key: &exposure::Key) -> rollout::Evidence {
        let old = exposure::Key {
            is_new: false,
            ..key.clone()
        };
        rollout::Evidence {
            new: self.total(key),
            old: self.total(&old),
        }
    }

    fn total(&self, key: &exposure::Key) -> Counts {
        self.ledger.total(key)
    }
}

fn plus(sum: rollout::Evidence, one: &rollout::Evidence) -> rollout::Evidence {
    rollout::Evidence {
        new: sum.new.plus(one.new),
        old: sum.old.plus(one.old),
    }
}
