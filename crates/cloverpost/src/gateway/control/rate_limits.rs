//! Exchange of the rate limits that upstreams state.
//!
//! A VM that gets no responses of an upstream cannot see that its limit has changed or ended, so
//! those that do report it to the watchers of their availability zone. These inform their zone and
//! the watchers of the others, and repeat all limits now and then for VMs that missed a message.

use std::time::Duration;

use cloverpost_core::throttle::Notice;
use cloverpost_core::time;
use cloverpost_wire::Message;

use crate::gateway::codec::Codec;
use crate::gateway::control::State;
use crate::gateway::store::Store;
use crate::peer;

/// Interval at which watchers repeat all limits.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of notices in a message, at about 40 bytes each.
const MAX_NOTICES: usize = 200;

impl<C: Codec, S: Store> State<C, S> {
    /// Sends news of this VM, and, on a watcher, all limits if they are due.
    pub(super) fn share_rate_limits(&mut self, now: time::Moment) {
        let shared = self.context.shared.clone();
        let news = shared.admission().throttle.take_news(now);
        if self.is_watcher() {
            self.send_rate_limits_to_zone(&news);
            self.send_rate_limits_to_watchers(&news);
            if now.since(self.last_rate_limits) > REPEAT_INTERVAL {
                self.last_rate_limits = now;
                let all = shared.admission().throttle.notices(now);
                self.send_rate_limits_to_zone(&all);
                self.send_rate_limits_to_watchers(&all);
            }
            return;
        }
        self.send_rate_limits(&self.watchers_of_zone(), &news);
    }

    /// Merges notices of another VM. A watcher forwards what changes to its zone, and to the
    /// watchers of other zones if it comes from its own.
    pub(super) fn merge_rate_limits(&self, from: &peer::Target, notices: Vec<Notice>) {
        let shared = &self.context.shared;
        let now = self.now();
        let (changed, count) = {
            let mut admission = shared.admission();
            let throttle = &mut admission.throttle;
            (throttle.merge(notices, now), throttle.count())
        };
        shared.metrics.rate_limits.set_upstreams(count);
        for notice in &changed {
            let limit = notice
                .rate
                .map_or_else(String::new, |rate| rate.to_string());
            log::info!(
                upstream = notice.upstream.as_str(), limit, stamp = notice.stamp, peer:% = from;
                "a peer told of a change of an upstream's rate limit"
            );
        }
        if !self.is_watcher() {
            return;
        }
        self.send_rate_limits_to_zone(&changed);
        let sender = self.image.members.rows.get(from.vm.as_str());
        if sender.is_some_and(|row| row.value.zone == self.context.own.zone) {
            self.send_rate_limits_to_watchers(&changed);
        }
    }

    /// Sends all known limits to `target`.
    pub(super) fn send_all_rate_limits(&self, target: &peer::Target) {
        let now = self.now();
        let notices = self.context.shared.admission().throttle.notices(now);
        self.send_rate_limits(std::slice::from_ref(target), &notices);
    }

    fn send_rate_limits_to_zone(&self, notices: &[Notice]) {
        self.send_rate_limits(&self.peers_of_zone(), notices);
    }

    /// Sends `notices` to the watchers of other availability zones.
    fn send_rate_limits_to_watchers(&self, notices: &[Notice]) {
        self.send_rate_limits(&self.watchers_of_other_zones(), notices);
    }

    fn send_rate_limits(&self, targets: &[peer::Target], notices: &[Notice]) {
        for part in notices.chunks(MAX_NOTICES) {
            let message = Message::Throttle(part.to_vec());
            for target in targets {
                self.send(target, &message);
            }
        }
    }
}
