//! The evidence known to one VM.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::poison::record::Record;
use crate::poison::{Fact, Feature, Lift, Mark, Profile, Status};
use crate::time;

/// Settings of a [`Register`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long a crash counts. A new crash extends the lifetime of older ones of
    /// the same feature.
    pub expiry: Duration,
    /// Maximum number of pieces of evidence. The least recently changed records
    /// are evicted first.
    pub capacity: usize,
    /// Number of distinct crashes that quarantine a request.
    pub threshold: usize,
    /// Number of distinct crashes that quarantine a part of prompts.
    pub part_threshold: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            expiry: Duration::from_mins(10),
            capacity: 4_096,
            threshold: 2,
            part_threshold: 4,
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
    /// Requests with the feature were quarantined on this VM; for logs and metrics.
    Quarantined(Feature),
    /// There is further evidence against a quarantined feature.
    Confirmed(Feature),
    /// Requests with the feature are quarantined no longer.
    Released(Feature),
}

/// One VM's view of what crashes upstreams.
#[derive(Clone, Debug)]
pub struct Register {
    pub(super) options: Options,
    pub(super) records: BTreeMap<Feature, Record>,
    /// Features with enough live evidence to be the cause of crashes.
    pub(super) suspects: BTreeSet<Feature>,
    /// Features that were quarantined after the last change of a suspect.
    pub(super) last_quarantined: BTreeSet<Feature>,
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

    /// Returns the status of requests with `feature`.
    #[must_use]
    pub fn status(&self, feature: &Feature, now: time::Moment) -> Status {
        let Some(record) = self.records.get(feature) else {
            return Status::Clear;
        };
        if record.live_len(now) == 0 {
            Status::Clear
        } else if self.is_over_threshold(feature, record)
            && !self.is_explained(feature, record, now)
        {
            Status::Quarantined
        } else {
            Status::Marked
        }
    }

    /// Returns the feature of `profile` with the most serious status, of several the narrowest.
    #[must_use]
    pub fn worst(&self, profile: &Profile, now: time::Moment) -> (Feature, Status) {
        let features = profile.features();
        let statuses = features.map(|feature| (feature, self.status(&feature, now)));
        let worst = statuses.reduce(|worst, next| if next.1 > worst.1 { next } else { worst });
        worst.unwrap_or((profile.request.into(), Status::Clear))
    }

    /// Remaining time of the quarantine of requests with `feature`; `None` without one.
    #[must_use]
    pub fn remaining(&self, feature: &Feature, now: time::Moment) -> Option<Duration> {
        let record = self.records.get(feature)?;
        let is_quarantined = self.status(feature, now) == Status::Quarantined;
        is_quarantined.then(|| record.expires_at.since(now))
    }

    /// Time since there was news of requests with `feature`; `None` without any.
    #[must_use]
    pub fn time_since_news(&self, feature: &Feature, now: time::Moment) -> Option<Duration> {
        let record = self.records.get(feature)?;
        Some(now.since(record.changed_at))
    }

    /// Facts about requests with `feature` that are still in effect.
    pub fn facts_of(&self, feature: &Feature, now: time::Moment) -> impl Iterator<Item = Fact> {
        let record = self.records.get_key_value(feature).into_iter();
        record.flat_map(move |(feature, record)| facts(*feature, record, now))
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
        records.flat_map(move |(feature, record)| facts(*feature, record, now))
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
        let suspects = std::mem::take(&mut self.suspects).into_iter();
        let is_suspect = |feature: &Feature| {
            let record = self.records.get(feature);
            record.is_some_and(|record| self.is_suspect(feature, record))
        };
        self.suspects = suspects.filter(is_suspect).collect();
    }

    /// Applies `change` to one record, then evicts others if over capacity.
    pub(super) fn change<T>(
        &mut self,
        feature: Feature,
        now: time::Moment,
        change: impl FnOnce(&mut Record) -> T,
    ) -> T {
        let record = self.records.entry(feature).or_default();
        let before = record.len();
        record.expire(now);
        let result = change(record);
        record.changed_at = now;
        self.len = self.len + record.len() - before;
        let record = &self.records[&feature];
        if self.is_suspect(&feature, record) {
            self.suspects.insert(feature);
        } else {
            self.suspects.remove(&feature);
        }
        self.evict(feature);
        result
    }

    /// Evicts records, except `protected`, if over capacity: those without suspicion first, then the
    /// least recently changed. Evicts several at once, since the search takes long.
    fn evict(&mut self, protected: Feature) {
        if self.len <= self.options.capacity {
            return;
        }
        let target = self.options.capacity - self.options.capacity / EVICTED_FRACTION;
        let others = self.records.iter().filter(|(key, _)| **key != protected);
        let mut others: Vec<_> = others
            .map(|(key, record)| (self.suspects.contains(key), record.changed_at, *key))
            .collect();
        others.sort_unstable();
        for (_, _, feature) in others {
            if self.len <= target {
                return;
            }
            let evicted = self.records.remove(&feature);
            self.len -= evicted.map_or(0, |record| record.len());
            self.suspects.remove(&feature);
        }
    }
}

/// The facts about `record` that are still in effect.
fn facts(feature: Feature, record: &Record, now: time::Moment) -> impl Iterator<Item = Fact> {
    let marks = marks(feature, record, now).map(Fact::Mark);
    marks.chain(lift(feature, record).map(Fact::Lift))
}

/// The marks for the evidence of `record` that is live at `now`.
pub(super) fn marks(
    feature: Feature,
    record: &Record,
    now: time::Moment,
) -> impl Iterator<Item = Mark> {
    let remaining = record.expires_at.since(now);
    let live = record.live.iter().filter(move |_| !remaining.is_zero());
    live.map(move |evidence| Mark {
        feature,
        evidence: evidence.clone(),
        is_confirmed: record.is_confirmed,
        remaining,
    })
}

/// The lift of the dismissed evidence of `record`, if there is any.
fn lift(feature: Feature, record: &Record) -> Option<Lift> {
    let evidence: Vec<_> = record.lifted.iter().cloned().collect();
    (!evidence.is_empty()).then_some(Lift { feature, evidence })
}
