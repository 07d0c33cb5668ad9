//! The evidence known to one VM.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::poison::record::Record;
use crate::poison::{Fact, Fingerprint, Lift, Mark, Status};
use crate::time;

/// Settings of a [`Register`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long a crash counts. A new crash extends the lifetime of older ones of
    /// the same fingerprint.
    pub expiry: Duration,
    /// Maximum number of pieces of evidence. The least recently changed records
    /// are evicted first.
    pub capacity: usize,
    /// Number of distinct crashes that quarantine a request.
    pub threshold: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            expiry: Duration::from_mins(10),
            capacity: 4_096,
            threshold: 2,
        }
    }
}

/// Part of the capacity that is evicted at once, as a divisor.
const EVICTED_FRACTION: usize = 8;

/// An effect for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Broadcast a fact to every peer. A [`Fact::Mark`] must be sent before the
    /// request is retried.
    Broadcast(Fact),
    /// A request was quarantined on this VM; for logs and metrics.
    Quarantined(Fingerprint),
    /// There is further evidence against a quarantined request.
    Confirmed(Fingerprint),
    /// A request is quarantined no longer.
    Released(Fingerprint),
}

/// One VM's view of the requests that crash upstreams.
#[derive(Clone, Debug)]
pub struct Register {
    pub(super) options: Options,
    pub(super) records: BTreeMap<Fingerprint, Record>,
    /// Requests with as many pieces of live evidence as the threshold.
    pub(super) suspects: BTreeSet<Fingerprint>,
    /// Requests that were quarantined after the last change of a suspect.
    pub(super) last_quarantined: BTreeSet<Fingerprint>,
    len: usize,
}

impl Register {
    /// Creates an empty register.
    #[must_use]
    pub const fn new(options: Options) -> Self {
        Self {
            options,
            records: BTreeMap::new(),
            suspects: BTreeSet::new(),
            last_quarantined: BTreeSet::new(),
            len: 0,
        }
    }

    /// Returns the status of requests with `fingerprint`.
    #[must_use]
    pub fn status(&self, fingerprint: &Fingerprint, now: time::Moment) -> Status {
        let Some(record) = self.records.get(fingerprint) else {
            return Status::Clear;
        };
        match record.live_len(now) {
            0 => Status::Clear,
            len if len < self.options.threshold || self.is_explained(fingerprint, record, now) => {
                Status::Marked
            }
            _ => Status::Quarantined,
        }
    }

    /// Remaining time of the quarantine of requests with `fingerprint`; `None` without one.
    #[must_use]
    pub fn remaining(&self, fingerprint: &Fingerprint, now: time::Moment) -> Option<Duration> {
        let record = self.records.get(fingerprint)?;
        let is_quarantined = self.status(fingerprint, now) == Status::Quarantined;
        is_quarantined.then(|| record.expires_at.since(now))
    }

    /// Time since there was news of requests with `fingerprint`; `None` without any.
    #[must_use]
    pub fn time_since_news(
        &self,
        fingerprint: &Fingerprint,
        now: time::Moment,
    ) -> Option<Duration> {
        let record = self.records.get(fingerprint)?;
        Some(now.since(record.changed_at))
    }

    /// Facts about requests with `fingerprint` that are still in effect.
    pub fn facts_of(
        &self,
        fingerprint: &Fingerprint,
        now: time::Moment,
    ) -> impl Iterator<Item = Fact> {
        let record = self.records.get_key_value(fingerprint).into_iter();
        record.flat_map(move |(fingerprint, record)| facts(*fingerprint, record, now))
    }

    /// Number of pieces of evidence, including expired and lifted ones.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether there is no evidence.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// All facts that are still in effect, for a peer that may have missed some.
    pub fn facts(&self, now: time::Moment) -> impl Iterator<Item = Fact> {
        let records = self.records.iter();
        records.flat_map(move |(fingerprint, record)| facts(*fingerprint, record, now))
    }

    /// Removes records that expired so long ago that no peer can still hold them
    /// as live.
    pub fn prune(&mut self, now: time::Moment) {
        let expiry = self.options.expiry;
        self.records.retain(|_, record| {
            record.expire(now);
            now < record.expires_at + expiry
        });
        self.len = self.records.values().map(Record::len).sum();
        let records = &self.records;
        let threshold = self.options.threshold;
        let is_suspect = |record: &Record| record.live.len() >= threshold;
        self.suspects
            .retain(|fingerprint| records.get(fingerprint).is_some_and(is_suspect));
    }

    /// Applies `change` to one record, then evicts others if over capacity.
    pub(super) fn change<T>(
        &mut self,
        fingerprint: Fingerprint,
        now: time::Moment,
        change: impl FnOnce(&mut Record) -> T,
    ) -> T {
        let record = self.records.entry(fingerprint).or_default();
        let before = record.len();
        record.expire(now);
        let result = change(record);
        record.changed_at = now;
        self.len = self.len + record.len() - before;
        if record.live.len() >= self.options.threshold {
            self.suspects.insert(fingerprint);
        } else {
            self.suspects.remove(&fingerprint);
        }
        self.evict(fingerprint);
        result
    }

    /// Evicts records, except `protected`, if over capacity: those without suspicion first, then the
    /// least recently changed. Evicts several at once, since the search takes long.
    fn evict(&mut self, protected: Fingerprint) {
        if self.len <= self.options.capacity {
            return;
        }
        let target = self.options.capacity - self.options.capacity / EVICTED_FRACTION;
        let others = self.records.iter().filter(|(key, _)| **key != protected);
        let mut others: Vec<_> = others
            .map(|(key, record)| (self.suspects.contains(key), record.changed_at, *key))
            .collect();
        others.sort_unstable();
        for (_, _, fingerprint) in others {
            if self.len <= target {
                return;
            }
            let evicted = self.records.remove(&fingerprint);
            self.len -= evicted.map_or(0, |record| record.len());
            self.suspects.remove(&fingerprint);
        }
    }
}

/// The facts about `record` that are still in effect.
fn facts(
    fingerprint: Fingerprint,
    record: &Record,
    now: time::Moment,
) -> impl Iterator<Item = Fact> {
    let marks = marks(fingerprint, record, now).map(Fact::Mark);
    marks.chain(lift(fingerprint, record).map(Fact::Lift))
}

/// The marks for the evidence of `record` that is live at `now`.
pub(super) fn marks(
    fingerprint: Fingerprint,
    record: &Record,
    now: time::Moment,
) -> impl Iterator<Item = Mark> {
    let remaining = record.expires_at.since(now);
    let live = record.live.iter().filter(move |_| !remaining.is_zero());
    live.map(move |evidence| Mark {
        fingerprint,
        evidence: evidence.clone(),
        remaining,
    })
}

/// The lift of the dismissed evidence of `record`, if there is any.
fn lift(fingerprint: Fingerprint, record: &Record) -> Option<Lift> {
    let evidence: Vec<_> = record.lifted.iter().cloned().collect();
    (!evidence.is_empty()).then_some(Lift {
        fingerprint,
        evidence,
    })
}
