//! News of the rejections of fragile upstreams.
//!
//! A VM tells the watchers of its availability zone at once, since the others would go on to exceed
//! their shares. These inform their zone and the watchers of the others.

use std::sync::Arc;

use cloverpost_core::fragile::Notice;
use cloverpost_core::id;
use cloverpost_wire::Message;
use ractor::ActorRef;

use crate::gateway::Shared;
use crate::gateway::codec::Codec;
use crate::gateway::command::Command;
use crate::gateway::control::State;
use crate::gateway::store::Store;
use crate::peer;

/// Tells the control actor of news until it is gone.
pub async fn forward<C: Codec>(shared: Arc<Shared<C>>, controller: ActorRef<Command>) {
    loop {
        shared.rejection_news.notified().await;
        if controller.cast(Command::Rejections).is_err() {
            return;
        }
    }
}

impl<C: Codec, S: Store> State<C, S> {
    /// Sends news of this VM.
    pub(super) fn share_rejections(&self) {
        let news = self.context.shared.admission().fragile.take_news();
        if self.is_watcher() {
            self.send_rejections(&self.peers_of_zone(), &news);
            self.send_rejections(&self.watchers_of_other_zones(), &news);
        } else {
            self.send_rejections(&self.watchers_of_zone(), &news);
        }
    }

    /// Merges notices of `from`. A watcher forwards them to its zone, and to the watchers of other
    /// zones if they come from its own.
    pub(super) fn merge_rejections(&self, from: &id::Vm, notices: Vec<Notice>) {
        let now = self.now();
        let forwarded = self.context.shared.admission().fragile.merge(notices, now);
        for notice in &forwarded {
            log::info!(
                service = notice.service.as_str(), limit:% = notice.limit, peer = from.as_str();
                "a peer told of a rejection of a fragile upstream"
            );
        }
        if !self.is_watcher() {
            return;
        }
        self.send_rejections(&self.peers_of_zone(), &forwarded);
        let sender = self.image.members.rows.get(from.as_str());
        if sender.is_some_and(|row| row.value.zone == self.context.own.zone) {
            self.send_rejections(&self.watchers_of_other_zones(), &forwarded);
        }
    }

    fn send_rejections(&self, targets: &[peer::Target], notices: &[Notice]) {
        if notices.is_empty() {
            return;
        }
        let message = Message::Fragile(notices.to_vec());
        for target in targets {
            self.send(target, &message);
        }
    }
}
