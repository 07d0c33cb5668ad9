//! What is believed of the surroundings, and how news changes it.

use std::time::Duration;

use cloverpost_core::directory::fetch::Fetched;
use cloverpost_core::directory::{Member, Page, Unreadable, Update, Upstream, View};
use cloverpost_core::{directory, time};
use tokio::sync::watch;

use crate::gateway::codec::Codec;
use crate::gateway::control::{State, changes};
use crate::gateway::rollouts;
use crate::gateway::store::{Error, Store, Topic};

/// Time after the store's return in which upstreams that are missing from it are
/// still used. Their entries lapse while the store is away; those that live are
/// back within about two seconds.
const RETURN_GRACE: Duration = Duration::from_millis(2200);
/// Unreadable rows that are remembered at most, so that each is told once; 200 bytes each.
const MOST_UNREADABLE: usize = 1000;
/// Time without such a message after which a VM follows the store itself: three are
/// lost, and a change is still in force within two seconds.
const FRESH: Duration = Duration::from_millis(1200);

impl<C: Codec, S: Store> State<C, S> {
    pub(super) fn learn(&mut self, topic: Topic, page: Page, whole: bool) {
        let now = self.now();
        self.heard = now;
        self.parts.shared.set_store_now_ms(page.now_ms);
        self.note_unreadable(topic, &page.unreadable);
        if let Some(since) = self.lost.remove(&topic) {
            let away_ms = u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX);
            log::info!(topic = topic.as_str(), away_ms; "the store answers again");
            self.returned = Some(now);
        }
        let before = self.upstreams_before(now);
        let changed = if whole {
            self.image.replace(page)
        } else {
            self.image.apply(page)
        };
        if topic == Topic::Upstreams {
            self.note_missing(before.as_ref(), now);
        }
        if changed {
            self.publish();
            if topic == Topic::Operators {
                self.tell_peers();
            }
            self.tell_listeners();
        }
    }

    /// Tells of rows that cannot be read, once each: whole reads bring them again and
    /// again.
    fn note_unreadable(&mut self, topic: Topic, rows: &[Unreadable]) {
        for row in rows {
            let told = self.unreadable.get(&(topic, row.key.clone()));
            if told == Some(&row.version) {
                continue;
            }
            if self.unreadable.len() >= MOST_UNREADABLE {
                self.unreadable.clear();
            }
            let metrics = &self.parts.shared.metrics;
            let counter = metrics.unreadable_rows.with_label_values(&[topic.as_str()]);
            counter.inc();
            log::warn!(
                topic = topic.as_str(), key = row.key.as_str(), version:% = row.version, why = row.reason.as_str();
                "a row cannot be read and counts as absent"
            );
            let key = (topic, row.key.clone());
            self.unreadable.insert(key, row.version);
        }
    }

    /// The upstreams as they are before a change, while it matters which go missing: a copy of
    /// 3,000 takes a millisecond, and each answer of the store would make one.
    fn upstreams_before(&self, now: time::Moment) -> Option<directory::Table<Upstream>> {
        let returned = self.returned?;
        (now < returned + RETURN_GRACE).then(|| self.image.upstreams.clone())
    }

    /// Remembers upstreams whose entries lapsed while the store was away.
    fn note_missing(&mut self, before: Option<&directory::Table<Upstream>>, now: time::Moment) {
        let rows = &self.image.upstreams.rows;
        self.missing.retain(|key, _| !rows.contains_key(key));
        let Some(returned) = self.returned else {
            return;
        };
        let until = returned + RETURN_GRACE;
        for (key, row) in before.into_iter().flat_map(|before| &before.rows) {
            if now < until && !rows.contains_key(key) && !row.value.is_leaving {
                self.missing.insert(key.clone(), (row.value.clone(), until));
            }
        }
    }

    pub(super) fn lose(&mut self, topic: Topic, error: &Error) {
        let now = self.now();
        if self.lost.insert(topic, now).is_none() {
            log::warn!(topic = topic.as_str(), why:% = error; "the store does not answer");
        } else if let Some(since) = self.lost.get_mut(&topic) {
            *since = now;
        }
    }

    /// Takes in what a peer has newer.
    pub(super) fn update(&mut self, peer: &Member, took: Duration, update: Update) {
        let before = self.image.versions();
        let now = self.now();
        let upstreams = self.upstreams_before(now);
        if self.image.update(update) {
            self.note_missing(upstreams.as_ref(), now);
            self.parts.shared.metrics.told_by_peers.inc();
            let after = self.image.versions();
            let took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
            log::info!(peer = peer.vm.as_str(), took_ms, before:? = before, after:? = after; "took newer tables from a peer");
            self.publish();
        }
    }

    /// Takes in a configuration that came from peers.
    pub(super) fn configure(&mut self, fetched: Fetched) {
        let version = fetched.version;
        let took_ms =
            u64::try_from(self.now().since(fetched.since).as_millis()).unwrap_or(u64::MAX);
        if self.image.configure(fetched) {
            self.parts.shared.metrics.told_by_peers.inc();
            log::info!(version:% = version, took_ms; "took a newer configuration from peers");
            self.publish();
        }
    }

    /// Publishes a view of what is believed now.
    pub(super) fn publish(&mut self) {
        let shared = &self.parts.shared;
        let last = shared.view.load_full();
        let missing: Vec<_> = self.missing.values().map(|(one, _)| one).collect();
        let view = View::new(&self.image, &missing, &last);
        changes::note(&last, &view);
        let upstreams: usize = view.pools.values().map(|pool| pool.upstreams.len()).sum();
        shared
            .metrics
            .upstreams
            .set(i64::try_from(upstreams).unwrap_or(i64::MAX));
        let number = view.index.as_ref().map_or(0, |index| index.number());
        shared
            .metrics
            .configuration
            .set(i64::try_from(number).unwrap_or(i64::MAX));
        shared.publish(view);
        let vms = u32::try_from(self.image.members.rows.len()).unwrap_or(u32::MAX);
        shared.split_budget(vms);
        self.choose_to_follow();
    }

    /// Follows the store, or leaves that to VMs of the same availability zone for as
    /// long as they say that they hear from it.
    pub(super) fn choose_to_follow(&self) {
        let own = &self.parts.own;
        let is_watcher = self.image.members.is_watcher(&own.vm, &own.zone);
        let now = self.now();
        let is_told = self.fresh.is_some_and(|fresh| now.since(fresh) < FRESH);
        let follows = is_watcher || !is_told;
        let open = follows && rollouts::are_open(&self.image);
        if set(&self.follows, follows) {
            log::info!(follows, is_watcher; "following the store changes");
        }
        set(&self.follows_progress, open);
    }
}

/// Sets a switch; whether that changed it.
fn set(switch: &watch::Sender<bool>, on: bool) -> bool {
    switch.send_if_modified(|is_on| std::mem::replace(is_on, on) != on)
}
