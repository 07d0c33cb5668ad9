//! Rating counts merged from all processes.

use std::collections::BTreeMap;

use crate::evidence::{Counts, Key, Source};

/// Grow-only counters: the highest counts received from each process.
///
/// Counts of terminated processes are retained, since their ratings remain valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ledger<K = Key> {
    counts: BTreeMap<K, BTreeMap<Source, Counts>>,
}

impl<K> Default for Ledger<K> {
    fn default() -> Self {
        Self {
            counts: BTreeMap::new(),
        }
    }
}

impl<K: Clone + Ord> Ledger<K> {
    /// Records a rating received by this process, `own`.
    pub fn record(&mut self, own: &Source, key: &K, passed: bool) {
        let counts = self.entry(own, key);
        *counts = counts.saturating_add(Counts::single(passed));
    }

    /// Merges a peer's counts and returns the increase.
    pub fn merge(&mut self, source: &Source, key: &K, counts: Counts) -> Counts {
        let known = self.entry(source, key);
        let increase = counts.saturating_sub(*known);
        *known = known.max(counts);
        increase
    }

    /// All counts, to send to a peer.
    pub fn digest(&self) -> impl Iterator<Item = (&Source, &K, Counts)> {
        self.counts.iter().flat_map(|(key, sources)| {
            let each = sources.iter();
            each.map(move |(source, counts)| (source, key, *counts))
        })
    }

    /// Ratings of `key` received by the process `source`.
    #[must_use]
    pub fn counts_of(&self, source: &Source, key: &K) -> Counts {
        let sources = self.counts.get(key);
        let counts = sources.and_then(|sources| sources.get(source));
        counts.copied().unwrap_or_default()
    }

    /// Keys with at least one entry.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.counts.keys()
    }

    /// Removes all keys for which `is_retained` returns `false`.
    pub fn retain(&mut self, is_retained: impl Fn(&K) -> bool) {
        self.counts.retain(|key, _| is_retained(key));
    }

    /// Total ratings of `key` across all processes.
    #[must_use]
    pub fn total(&self, key: &K) -> Counts {
        let sources = self.counts.get(key).into_iter().flatten();
        sources.fold(Counts::default(), |sum, (_, counts)| {
            sum.saturating_add(*counts)
        })
    }

    fn entry(&mut self, source: &Source, key: &K) -> &mut Counts {
        let sources = self.counts.entry(key.clone()).or_default();
        sources.entry(source.clone()).or_default()
    }
}
