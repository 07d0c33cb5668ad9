//! Quality estimates by entry and organisation.

use std::collections::BTreeMap;

use crate::evidence;
use crate::id;
use crate::plan::Estimate;

/// Weight of the declared quality of an entry, in ratings.
const DECLARED_WEIGHT: f64 = 8.0;

/// Maximum weight of the ratings of all organisations as a prior for one organisation, in
/// ratings.
const MAX_SHARED_WEIGHT: f64 = 60.0;

/// Assumed quality on requests that another version failed, relative to the quality on
/// all requests. Such requests are harder than average.
const FALLBACK_QUALITY_FACTOR: f64 = 0.85;

/// Weight of that assumption, in ratings.
const FALLBACK_WEIGHT: f64 = 8.0;

/// Quality estimates of all entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Estimates {
    keys: BTreeMap<evidence::Key, Estimate>,
    entries: BTreeMap<id::Entry, Estimate>,
    pairs: BTreeMap<(id::Entry, id::Entry), Estimate>,
}

impl Estimates {
    /// Records ratings, either local ones or those that [`evidence::Ledger::merge`]
    /// returned as new.
    pub fn record(&mut self, key: &evidence::Key, counts: evidence::Counts) {
        let empty = || Estimate::new(0.0, 0.0);
        if let Some(after) = &key.after {
            let pair = (key.entry.clone(), after.clone());
            let known = self.pairs.entry(pair).or_insert_with(empty);
            known.record(counts);
        } else {
            let entry = key.entry.clone();
            let known = self.entries.entry(entry).or_insert_with(empty);
            known.record(counts);
        }
        let known = self.keys.entry(key.clone()).or_insert_with(empty);
        known.record(counts);
    }

    /// Returns the decayed number of ratings of `entry` by all organisations.
    #[must_use]
    pub fn ratings(&self, entry: &id::Entry) -> f64 {
        self.entries.get(entry).map_or(0.0, Estimate::weight)
    }

    /// Returns the estimate of `entry` for `organisation`; `declared` is the quality in
    /// the catalogue.
    #[must_use]
    pub fn estimate(
        &self,
        entry: &id::Entry,
        organisation: &id::Organisation,
        declared: f64,
    ) -> Estimate {
        let empty = Estimate::new(0.0, 0.0);
        let all = self.entries.get(entry).copied().unwrap_or(empty);
        let prior = all.with_prior(declared, DECLARED_WEIGHT).mean();
        self.organisation_ratings(entry, organisation, None)
            .with_prior(prior, MAX_SHARED_WEIGHT.min(all.weight() + DECLARED_WEIGHT))
    }

    /// Returns the estimate of `entry` for `organisation` on requests that `failed`
    /// failed.
    #[must_use]
    pub fn estimate_after_failure(
        &self,
        entry: &id::Entry,
        failed: &id::Entry,
        organisation: &id::Organisation,
        declared: f64,
    ) -> Estimate {
        let empty = Estimate::new(0.0, 0.0);
        let pair = (entry.clone(), failed.clone());
        let all = self.pairs.get(&pair).copied().unwrap_or(empty);
        let assumed = FALLBACK_QUALITY_FACTOR * self.estimate(entry, organisation, declared).mean();
        let prior = all.with_prior(assumed, FALLBACK_WEIGHT).mean();
        self.organisation_ratings(entry, organisation, Some(failed))
            .with_prior(prior, MAX_SHARED_WEIGHT.min(all.weight() + FALLBACK_WEIGHT))
    }

    fn organisation_ratings(
        &self,
        entry: &id::Entry,
        organisation: &id::Organisation,
        after: Option<&id::Entry>,
    ) -> Estimate {
        let key = evidence::Key {
            entry: entry.clone(),
            organisation: organisation.clone(),
            after: after.cloned(),
        };
        let empty = Estimate::new(0.0, 0.0);
        self.keys.get(&key).copied().unwrap_or(empty)
    }
}
