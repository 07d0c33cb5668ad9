//! Which feature is the cause of a crash.
//!
//! A crash ends all requests that are in flight on the upstream, and has one cause among their
//! features. A request that meets the crashes of poison requests again and again looks like one, but
//! all its crashes are also evidence against others, which have more.
//!
//! Of two requests that have just reached the threshold, either may be the cause. They excuse each
//! other until one more crash decides between them. Above the threshold only a request that was
//! there at each of the crashes, and at others, is an excuse; otherwise poison requests that come at
//! the same time would never be stopped.
//!
//! A part of prompts is suspected once requests that have it met several crashes beside those of any
//! one of them, which may be poison by itself. It excuses a request with no more crashes, as another
//! request would. Crashes at which a quarantined part was in flight do not count against single
//! requests. A part that one request accounts for is not quarantined, and one that another suspected part accounts for only
//! after one more crash: bad parts that come at the same time excuse each other as well. Of two parts that are always in the same requests both are
//! quarantined, of a request and its part only the request.
//!
//! Once a quarantine is confirmed, no feature of its kind excuses it: none of its requests run any
//! more, so that later crashes, at which others were in flight, say nothing of it.

use std::collections::{BTreeMap, BTreeSet};

use crate::id;
use crate::poison::record::Record;
use crate::poison::{Action, Evidence, Fact, Feature, Register, Status};
use crate::time;

/// Least number of crashes of a part, beside those of any one of its requests, after which it is
/// suspected.
const MIN_OTHER_CRASHES: usize = 2;
/// Number of crashes above the threshold from which no other part excuses a part.
const MAX_EXCUSED_CRASHES: usize = 1;

impl Register {
    /// Whether a feature with the live evidence of `record` may be the cause of crashes.
    pub(super) fn is_suspect(&self, feature: &Feature, record: &Record) -> bool {
        match feature {
            Feature::Request(_) => record.live.len() >= self.options.threshold,
            Feature::Part(_) => record.crashes_beside_one_request() >= MIN_OTHER_CRASHES,
        }
    }

    /// Whether a feature with the live evidence of `record` is quarantined if nothing else explains it.
    pub(super) fn is_over_threshold(&self, feature: &Feature, record: &Record) -> bool {
        self.is_suspect(feature, record)
            && match feature {
                Feature::Request(_) => true,
                Feature::Part(_) => record.upstreams().len() >= self.options.part_threshold,
            }
    }

    /// Whether other features explain the crashes of `record`.
    pub(super) fn is_explained(
        &self,
        feature: &Feature,
        record: &Record,
        now: time::Moment,
    ) -> bool {
        match feature {
            Feature::Request(_) if record.is_confirmed => false,
            Feature::Request(_) => {
                self.is_explained_by_parts(record, now)
                    || self.is_explained_by_requests(feature, record, now)
            }
            Feature::Part(_) => self.is_part_explained(feature, record, now),
        }
    }

    /// Other features that may be the cause of crashes.
    fn other_suspects(
        &self,
        feature: &Feature,
        now: time::Moment,
    ) -> impl Iterator<Item = (&Feature, &Record)> {
        let others = self.suspects.iter().filter(move |other| *other != feature);
        let others = others.filter_map(|other| self.records.get_key_value(other));
        others.filter(move |(_, other)| other.live_len(now) > 0)
    }

    fn is_explained_by_requests(
        &self,
        feature: &Feature,
        record: &Record,
        now: time::Moment,
    ) -> bool {
        let threshold = self.options.threshold;
        let len = record.live_len(now);
        let others = self.other_suspects(feature, now);
        let others = others.filter(|(other, _)| matches!(other, Feature::Request(_)));
        let others = others.map(|(_, other)| other);
        if len > threshold {
            let mut stronger = others.filter(|other| other.live_len(now) > len);
            return stronger.any(|other| other.live.is_superset(&record.live));
        }
        let others: Vec<_> = others.filter(|other| other.live_len(now) >= len).collect();
        let is_unexplained = |crash: &&_| !others.iter().any(|other| other.live.contains(*crash));
        record.live.iter().filter(is_unexplained).count() < threshold
    }

    /// Whether a suspected part accounts for all crashes of a request, or quarantined parts together
    /// for all but a few.
    fn is_explained_by_parts(&self, record: &Record, now: time::Moment) -> bool {
        let crashes = record.upstreams();
        let is_new = record.live.len() <= self.options.threshold;
        let mut explained = BTreeSet::new();
        for (part, other) in self.suspected_parts(now) {
            let upstreams = other.upstreams();
            let is_wider = is_new || upstreams.len() > crashes.len();
            if is_wider && upstreams.is_superset(&crashes) {
                return true;
            }
            if self.status(part, now) == Status::Quarantined {
                explained.extend(upstreams);
            }
        }
        let is_unexplained = |crash: &&Evidence| !explained.contains(&crash.upstream);
        record.live.iter().filter(is_unexplained).count() < self.options.threshold
    }

    fn suspected_parts(&self, now: time::Moment) -> impl Iterator<Item = (&Feature, &Record)> {
        let parts = self.suspects.iter().rev();
        let parts = parts.take_while(|feature| matches!(feature, Feature::Part(_)));
        let parts = parts.filter_map(|part| self.records.get_key_value(part));
        parts.filter(move |(_, record)| record.live_len(now) > 0)
    }

    fn is_part_explained(&self, part: &Feature, record: &Record, now: time::Moment) -> bool {
        let upstreams = record.upstreams();
        let max_excused = self.options.part_threshold + MAX_EXCUSED_CRASHES;
        let is_excusable = !record.is_confirmed && upstreams.len() < max_excused;
        let covers = |other: &Record| other.upstreams().is_superset(&upstreams);
        let mut others = self.other_suspects(part, now);
        others.any(|(feature, other)| match feature {
            Feature::Request(_) => covers(other),
            Feature::Part(_) => is_excusable && other.live != record.live && covers(other),
        })
    }

    /// The quarantined features.
    pub(super) fn quarantined(&self, now: time::Moment) -> BTreeSet<Feature> {
        let suspects = self.suspects.iter().copied();
        suspects
            .filter(|feature| self.status(feature, now) == Status::Quarantined)
            .collect()
    }

    /// Confirms the quarantine of a feature, if it is in effect: all VMs have had time to tell of the
    /// crashes. Facts of it are confirmed from now on.
    pub fn confirm(&mut self, feature: &Feature, now: time::Moment) {
        let is_quarantined = self.status(feature, now) == Status::Quarantined;
        if is_quarantined && let Some(record) = self.records.get_mut(feature) {
            record.is_confirmed = true;
        }
    }

    /// All facts about quarantined features that are in effect.
    pub fn quarantined_facts(&self, now: time::Moment) -> impl Iterator<Item = Fact> {
        let quarantined = self.quarantined(now).into_iter();
        quarantined.flat_map(move |feature| self.facts_of(&feature, now).collect::<Vec<_>>())
    }

    /// Features that were quarantined or released by a change to `changed`. Only changes to suspects
    /// matter, so that marks of many other requests cost little.
    pub(super) fn changes_by(&mut self, changed: &Feature, now: time::Moment) -> Vec<Action> {
        let was_quarantined = self.last_quarantined.contains(changed);
        if !was_quarantined && !self.suspects.contains(changed) {
            return Vec::new();
        }
        let after = self.quarantined(now);
        let before = std::mem::replace(&mut self.last_quarantined, after);
        let after = &self.last_quarantined;
        let quarantined = after.difference(&before).copied().map(Action::Quarantined);
        let released = before.difference(after).copied().map(Action::Released);
        quarantined.chain(released).collect()
    }
}

impl Record {
    /// Upstreams of the live evidence.
    pub(super) fn upstreams(&self) -> BTreeSet<&id::Vm> {
        let evidence = self.live.iter();
        evidence.map(|evidence| &evidence.upstream).collect()
    }

    /// Number of crashes that the request with the most of them was not in flight at.
    fn crashes_beside_one_request(&self) -> usize {
        let mut by_request = BTreeMap::<_, usize>::new();
        for evidence in &self.live {
            *by_request.entry(evidence.request).or_default() += 1;
        }
        let most = by_request.into_values().max().unwrap_or_default();
        self.upstreams().len() - most
    }
}
