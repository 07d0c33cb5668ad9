//! Applies updates from the store and from peers to the table replica and publishes routing views.

use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::directory::fetch::Fetched;
use cloverpost_core::directory::{
    Configuration, Exceptions, Member, Page, TableKind, Unreadable, Update, Upstream, View,
    watchers,
};
use cloverpost_core::{directory, quota, time};
use tokio::sync::watch;

use crate::gateway::codec::Codec;
use crate::gateway::control::{State, view_log};
use crate::gateway::rollouts;
use crate::gateway::shared::Phase;
use crate::gateway::store::{Error, Store, Topic};

/// How long upstreams missing from a recovered store stay in use. Their registrations expire
/// during an outage, and live upstreams register again within about two seconds.
pub(super) const RECOVERY_GRACE: Duration = Duration::from_millis(2200);
/// Time without store contact after which an outage is assumed; spans two missed heartbeats.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time from the start of this VM after which it serves on what the store alone has told.
const PEER_ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of unreadable rows remembered to avoid logging them again, at about 200 bytes
/// each.
const LOGGED_UNREADABLE_MAX: usize = 1000;

impl<C: Codec, S: Store> State<C, S> {
    pub(super) fn apply_page(&mut self, topic: Topic, page: Page, is_full: bool) {
        if self.is_outdated(topic, &page) {
            return;
        }
        let now = self.now();
        self.observe_era(page.version.era(), topic.as_str());
        self.record_store_contact(now);
        self.last_store_response = now;
        self.context.shared.set_store_now_ms(page.now_ms);
        self.log_unreadable(topic, &page.unreadable);
        if let Some(since) = self.failed_topics.remove(&topic) {
            let away_ms = millis(now.since(since));
            log::info!(topic = topic.as_str(), away_ms; "the store answers again");
        }
        // Only the first response on any topic marks the recovery. Responses on unchanged topics
        // can arrive up to 20 s later and would extend the grace period of removed upstreams.
        if std::mem::take(&mut self.is_store_unavailable) {
            self.store_recovered = Some(now);
        }
        let before = self.upstreams_before_change(now);
        // An empty member list also counts: on the first start of a site the store has no version
        // yet.
        self.has_members |= topic == Topic::Members;
        let changed = if is_full {
            self.image.replace(page)
        } else {
            self.image.apply(page)
        };
        if topic == Topic::Upstreams {
            self.retain_expired_upstreams(before.as_ref(), now);
        }
        self.log_overruled();
        if changed {
            self.publish();
            if topic == Topic::Operators {
                self.notify_peers();
            }
            self.send_heartbeats();
        }
    }

    /// Logs and counts unreadable rows, once per row version, since full reads return them
    /// repeatedly.
    fn log_unreadable(&mut self, topic: Topic, rows: &[Unreadable]) {
        for row in rows {
            let logged = self.logged_unreadable.get(&(topic, row.key.clone()));
            if logged == Some(&row.version) {
                continue;
            }
            if self.logged_unreadable.len() >= LOGGED_UNREADABLE_MAX {
                self.logged_unreadable.clear();
            }
            let metrics = &self.context.shared.metrics;
            let counter = metrics.unreadable_rows.with_label_values(&[topic.as_str()]);
            counter.inc();
            log::warn!(
                topic = topic.as_str(), key = row.key.as_str(), version:% = row.version, why = row.reason.as_str();
                "a row cannot be read and counts as absent"
            );
            let key = (topic, row.key.clone());
            self.logged_unreadable.insert(key, row.version);
        }
    }

    /// Copies the upstream table if expired upstreams may have to be retained. Limited to the
    /// grace period because copying a large table on every store response is expensive.
    fn upstreams_before_change(&self, now: time::Moment) -> Option<directory::Table<Upstream>> {
        let recovered = self.store_recovered?;
        (now < recovered + RECOVERY_GRACE).then(|| self.image.upstreams.clone())
    }

    /// Retains upstreams whose registrations expired during a store outage.
    fn retain_expired_upstreams(
        &mut self,
        before: Option<&directory::Table<Upstream>>,
        now: time::Moment,
    ) {
        self.withhold_restored_upstreams(before, now);
        let rows = &self.image.upstreams.rows;
        let withheld = &self.withheld_upstreams;
        self.retained_upstreams
            .retain(|key, _| !rows.contains_key(key) || withheld.contains_key(key));
        let Some(recovered) = self.store_recovered else {
            return;
        };
        let until = recovered + RECOVERY_GRACE;
        for (key, row) in before.into_iter().flat_map(|before| &before.rows) {
            let is_absent = !rows.contains_key(key) || withheld.contains_key(key);
            if now < until && is_absent && !row.value.is_leaving {
                self.retained_upstreams
                    .insert(key.clone(), (row.value.clone(), until));
            }
        }
    }

    /// Records store contact, either direct or reported by a peer.
    pub(super) fn record_store_contact(&mut self, now: time::Moment) {
        if now.since(self.last_store_contact) > CONTACT_TIMEOUT {
            self.store_contact_resumed = Some(now);
            self.quarantine_requests.require_answer();
        }
        self.last_store_contact = now;
    }

    /// Returns whether this VM lacked store contact recently and may have missed an outage.
    ///
    /// A partitioned VM reports the end of its partition as a store recovery. VMs with continuous
    /// store contact ignore such reports; otherwise they would keep using removed upstreams.
    fn may_have_missed_outage(&self, now: time::Moment) -> bool {
        // Long polls can go unanswered for seconds while nothing changes.
        if self.has_store_contact() {
            return false;
        }
        let is_silent = now.since(self.last_store_contact) > CONTACT_TIMEOUT;
        is_silent
            || self
                .store_contact_resumed
                .is_some_and(|resumed| now < resumed + RECOVERY_GRACE)
    }

    /// Returns the time since the store recovered, or `None` after the grace period.
    pub(super) fn time_since_recovery(&self) -> Option<Duration> {
        let ago = self.now().since(self.store_recovered?);
        (ago < RECOVERY_GRACE).then_some(ago)
    }

    pub(super) fn record_store_failure(&mut self, topic: Topic, error: &Error) {
        let now = self.now();
        self.is_store_unavailable = true;
        if self.failed_topics.insert(topic, now).is_none() {
            log::warn!(topic = topic.as_str(), why:% = error; "the store does not answer");
        } else if let Some(since) = self.failed_topics.get_mut(&topic) {
            *since = now;
        }
    }

    /// Merges newer tables received from a peer.
    pub(super) fn apply_update(&mut self, peer: &Member, took: Duration, update: Update) {
        let now = self.now();
        self.has_members |= update.members.is_some();
        if update.follows {
            // Counts as a heartbeat even while the peer is still loading. Reading a large table
            // can exceed the takeover delay, and every VM of a restarting site would read it too.
            self.record_heartbeat(peer);
        }
        if let Some(ago) = update.returned {
            let recovered = time::Moment::new(now.since_start().saturating_sub(ago));
            self.reported_recovery = self.reported_recovery.max(Some(recovered));
            if self.may_have_missed_outage(now) {
                self.store_recovered = self.store_recovered.max(Some(recovered));
            }
        }
        self.observe_era(update.era(), peer.vm.as_str());
        let before = self.image.versions();
        let upstreams = self.upstreams_before_change(now);
        if self.image.update(update) {
            self.retain_expired_upstreams(upstreams.as_ref(), now);
            self.context.shared.metrics.tables_from_peers.inc();
            let after = self.image.versions();
            let took_ms = millis(took);
            log::info!(peer = peer.vm.as_str(), took_ms, before:? = before, after:? = after; "took newer tables from a peer");
            self.log_overruled();
            self.publish();
        }
    }

    /// Applies a configuration fetched from peers.
    pub(super) fn apply_configuration(&mut self, fetched: Fetched<Configuration>) {
        let took_ms = millis(self.now().since(fetched.since));
        let (encoded, reused) = (fetched.encoded.clone(), fetched.reused);
        if self.image.replace_configuration(fetched) {
            self.context.shared.metrics.tables_from_peers.inc();
            let (version, bytes) = (self.image.configuration.version, encoded.bytes.len());
            log::info!(version:%, took_ms, bytes, reused; "took a newer configuration from peers");
            let table = &self.image.configuration;
            self.configuration_encodings.insert(table, encoded);
            self.publish();
            self.advertise(TableKind::Configuration, version);
        }
    }

    /// Replaces the upstream table with one fetched from peers and advertises it to other VMs.
    pub(super) fn replace_upstreams(&mut self, fetched: Fetched<Upstream>) {
        let now = self.now();
        let (version, took_ms) = (fetched.version, millis(now.since(fetched.since)));
        self.observe_era(fetched.snapshot_version.era(), "peers");
        let before = self.upstreams_before_change(now);
        if self.image.replace_upstreams(fetched) {
            self.retain_expired_upstreams(before.as_ref(), now);
            self.context.shared.metrics.tables_from_peers.inc();
            let upstreams = self.image.upstreams.rows.len();
            log::info!(version:% = version, upstreams, took_ms; "took all upstreams from peers");
            self.publish();
            self.advertise(TableKind::Upstreams, version);
        }
    }

    /// Publishes a view of the current tables and updates the state derived from them.
    pub(super) fn publish(&mut self) {
        if self.has_orders() && self.has_heard_of_peers() {
            self.publish_view();
        }
        let fleet = self.image.members.fleet(&self.context.own);
        self.context.shared.set_fleet(fleet);
        self.update_senders();
        self.update_followed_topics();
    }

    /// Recomputes what follows from the member list if it has changed: which VMs send to cold
    /// upstreams and to those that state limits, and which may be asked for tunnels.
    fn update_senders(&mut self) {
        let members = &self.image.members;
        if self.senders_version == members.changed {
            return;
        }
        self.senders_version = members.changed;
        let own = self.context.own.vm.clone();
        let members = members.rows.values().map(|row| &row.value);
        let senders = quota::Senders::new(own, members);
        let shared = &self.context.shared;
        shared.admission().set_senders(senders, self.now());
        let peers = self.image.members.rows.values().map(|row| &row.value);
        let peers = peers.filter(|member| member.vm != self.context.own.vm);
        let peers: Vec<_> = peers.cloned().collect();
        shared.helpers().retain(&peers);
        shared.peers.store(Arc::new(peers));
    }

    /// Returns whether a peer has told this VM of its tables, or none may do so. A store that came
    /// back from a copy may have a configuration that its peers know to be replaced.
    pub(super) fn has_heard_of_peers(&self) -> bool {
        let is_current = self.image.configuration.version >= self.requests.told_configuration();
        let is_alone = self.has_members && self.peer_targets().is_empty();
        let has_waited = self.now().since_start() > PEER_ANSWER_TIMEOUT;
        self.is_told && is_current || is_alone || has_waited
    }

    /// Publishes the first view once all that it waits for is known.
    pub(super) fn publish_first_view(&mut self) {
        let has_view = self.context.shared.view.load().index.is_some();
        if !has_view && self.has_required_tables() && self.has_heard_of_peers() {
            self.publish();
        }
    }

    /// Returns whether the operators' orders have been received. Configuration and upstreams can
    /// arrive first from other peers; without the orders a starting VM could route into an
    /// evacuated availability zone.
    fn has_orders(&self) -> bool {
        self.image.evacuations.version > directory::Version::default()
    }

    fn publish_view(&mut self) {
        let shared = &self.context.shared;
        let last = shared.view.load_full();
        let retained = self.retained_upstreams.values();
        let exceptions = Exceptions {
            retained: retained.map(|(upstream, _)| upstream).collect(),
            withheld: self.withheld_upstreams.keys().map(String::as_str).collect(),
        };
        let view = View::new(&self.image, &exceptions, &last);
        view_log::log_changes(&last, &view);
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
        let evacuated = i64::try_from(view.evacuated.len()).unwrap_or(i64::MAX);
        shared.metrics.evacuated_zones.set(evacuated);
        shared.publish(view);
    }

    /// Decides which topics of the store this VM follows. While it receives heartbeats from VMs of
    /// the same availability zone, it follows none, or only the member list until it has one. Also
    /// updates whether this VM must register and whether it is a watcher.
    pub(super) fn update_followed_topics(&mut self) {
        let rank = self.image.members.rank(&self.context.own);
        let silence = self.now().since(self.last_heartbeat_received);
        let awaits_members = self.awaits_member_list(silence);
        let follows =
            !awaits_members && silence >= watchers::takeover_delay(rank, self.takeover_threshold());
        let open = follows && rollouts::any_open(&self.image);
        if follows && !*self.follows.borrow() && self.has_required_tables() {
            self.breaker.half_open();
        }
        if set(&self.follows, follows) {
            log::info!(follows, place = rank, silence_ms = millis(silence); "following the store changes");
        }
        set(
            &self.follows_members,
            follows || awaits_members || !self.has_members,
        );
        set(&self.follows_progress, open);
        if !follows {
            // Recovery cannot be observed on topics that are not followed. An outage seen only by
            // others must not count as a recovery once this VM follows the store again.
            self.failed_topics.clear();
            self.is_store_unavailable = false;
        }
        if !open {
            self.failed_topics.remove(&Topic::Progress);
        }
        let is_serving = *self.context.shared.phase.borrow() == Phase::Serving;
        let is_unlisted = is_serving && self.has_members && !self.is_listed();
        set(&self.is_unlisted, is_unlisted);
        self.breaker.set_watcher(rank < watchers::WATCHERS);
    }

    /// Returns the time without heartbeats after which the first VMs take over.
    fn takeover_threshold(&self) -> Duration {
        if self.has_required_tables() {
            watchers::TAKEOVER_TIMEOUT
        } else {
            watchers::STARTUP_TAKEOVER_TIMEOUT
        }
    }

    /// Returns whether all tables required to serve requests and to answer peers are present.
    pub(super) fn has_required_tables(&self) -> bool {
        let none = directory::Version::default();
        let image = &self.image;
        image.configuration.version > none && image.upstreams.version > none && self.has_orders()
    }

    /// Returns whether this VM has just started and cannot yet determine its watchers, because the
    /// member list is still being read or, on a new site, written.
    fn awaits_member_list(&self, silence: Duration) -> bool {
        let is_new_site = self.context.shared.settings.load().is_new_site;
        let is_settling =
            is_new_site && !self.is_listed() && silence < watchers::MEMBER_LIST_TIMEOUT;
        !self.has_required_tables()
            && (is_settling || !self.has_members && silence < watchers::STARTUP_TAKEOVER_TIMEOUT)
    }

    /// Returns whether the member list contains the current row of this VM.
    fn is_listed(&self) -> bool {
        let own = &self.context.own;
        let row = self.image.members.rows.get(own.vm.as_str());
        let is_lost = self.image.members.overruled.contains_key(own.vm.as_str());
        row.is_some_and(|row| row.value == *own) && !is_lost
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Sets `flag` to `value` and returns whether it changed.
fn set(flag: &watch::Sender<bool>, value: bool) -> bool {
    flag.send_if_modified(|current| std::mem::replace(current, value) != value)
}
