//! Handles the store's return from a copy.
//!
//! The copy is some seconds old. The tables keep what the store has lost until it is written again;
//! this module learns of the return, tells the followers of the other topics, and ends what is kept.

use std::collections::BTreeSet;
use std::time::Duration;

use cloverpost_core::directory::{Era, Page, Table, Upstream, Version};
use cloverpost_core::time;

use crate::gateway::codec::Codec;
use crate::gateway::control::State;
use crate::gateway::store::{Store, Topic};

/// How long operators and VMs may take to write again what the store has lost.
const REWRITE_TIME: Duration = Duration::from_secs(30);
/// How long an upstream that was removed is not used if it stands in a copy. Three missed heartbeats
/// remove it again unless it is alive.
const WITHHOLD_TIME: Duration = Duration::from_secs(8);

impl<C: Codec, S: Store> State<C, S> {
    /// Returns whether `page` is of an earlier era than known. Such a page was sent before the store
    /// came back from a copy, or by another store.
    pub(super) fn is_outdated(&self, topic: Topic, page: &Page) -> bool {
        let known = *self.era.borrow();
        let is_outdated = page.version.era() < known;
        if is_outdated {
            let ignored = &self.context.shared.metrics.eras.ignored;
            ignored.with_label_values(&[topic.as_str()]).inc();
            log::warn!(
                topic = topic.as_str(), version:% = page.version, era:% = known;
                "the store's response is of an earlier era and is ignored"
            );
        }
        is_outdated
    }

    /// Records that `source` has tables of `era`.
    pub(super) fn observe_era(&mut self, era: Era, source: &str) {
        let known = *self.era.borrow();
        if era <= known {
            return;
        }
        self.era.send_replace(era);
        let number = i64::try_from(era.get()).unwrap_or(i64::MAX);
        self.context.shared.metrics.eras.era.set(number);
        if !self.has_required_tables() {
            log::info!(era:%, source; "the store's era is known");
            return;
        }
        let now = self.now();
        self.restored = Some(now);
        self.store_recovered = Some(now);
        log::warn!(before:% = known, now:% = era, source; "the store came back from a copy");
    }

    /// Logs the rows that are kept against the store's word, once for each era.
    pub(super) fn log_overruled(&mut self) {
        for (table, key) in self.image.overruled() {
            let kept = (table, key.to_owned());
            if !self.logged_overruled.contains(&kept) {
                let counter = &self.context.shared.metrics.eras.kept;
                counter.with_label_values(&[table]).inc();
                log::info!(table, key; "the store has lost a change that is kept");
                self.logged_overruled.insert(kept);
            }
        }
        let current: BTreeSet<_> = self.image.overruled().collect();
        self.logged_overruled.retain(|(table, key)| {
            let is_kept = current.contains(&(*table, key.as_str()));
            if !is_kept {
                log::info!(table = *table, key = key.as_str(); "the store has the change again, or a later one");
            }
            is_kept
        });
    }

    /// Takes the store's word for what was not written again in time, and uses upstreams again that
    /// stayed in the copy.
    pub(super) fn end_restore(&mut self, now: time::Moment) {
        let withheld = self.withheld_upstreams.len();
        self.withheld_upstreams.retain(|_, (_, until)| now < *until);
        let mut changed = self.withheld_upstreams.len() != withheld;
        if self.image.overruled().next().is_none() {
            self.restored = None;
        } else if now >= *self.restored.get_or_insert(now) + REWRITE_TIME {
            self.restored = None;
            // The list of VMs changes without a version of its own.
            self.senders_version = Version::default();
            for (table, key) in self.image.release_overruled() {
                log::warn!(table, key = key.as_str(); "a change that the store has lost was not written again and ends");
                self.logged_overruled.remove(&(table, key));
                changed = true;
            }
        }
        if changed {
            self.publish();
            self.count_withheld();
        }
    }

    fn count_withheld(&self) {
        let withheld = i64::try_from(self.withheld_upstreams.len()).unwrap_or(i64::MAX);
        self.context.shared.metrics.eras.withheld.set(withheld);
    }

    /// Withholds upstreams of a copy that were removed after it was made, and former processes.
    pub(super) fn withhold_restored_upstreams(
        &mut self,
        before: Option<&Table<Upstream>>,
        now: time::Moment,
    ) {
        let table = &self.image.upstreams;
        // A row that is written again is of an upstream that lives.
        self.withheld_upstreams.retain(|key, (version, _)| {
            let row = table.rows.get(key);
            row.is_some_and(|row| row.version == *version)
        });
        let Some(before) = before.filter(|one| one.version.era() < table.version.era()) else {
            return;
        };
        for (key, row) in &table.rows {
            if is_restored(before, key, &row.value) {
                log::info!(upstream = key.as_str(); "an upstream that was removed stands in the store's copy and is not used");
                let withheld = (row.version, now + WITHHOLD_TIME);
                self.withheld_upstreams.insert(key.clone(), withheld);
            }
        }
        self.count_withheld();
    }
}

/// Whether `upstream` stands in a copy of the store only: `before`, the known table, has a later
/// process under its id, or had it removed.
fn is_restored(before: &Table<Upstream>, key: &str, upstream: &Upstream) -> bool {
    if let Some(known) = before.rows.get(key) {
        return upstream.is_former(&known.value);
    }
    let mut former = before.superseded.of(key);
    former.any(|former| !upstream.is_restart_of(&former.value))
}
