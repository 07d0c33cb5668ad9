//! Exchange of evidence against requests that crash upstreams.
//!
//! A VM reports each crash to the watchers of all availability zones, which add up the reports. A
//! watcher tells its zone only which requests are quarantined or released: the loss of many
//! upstreams at once ends many requests, and reporting each of them to every VM would need a
//! number of messages that grows with the square of the fleet.

use cloverpost_core::poison::{Fact, Status};
use cloverpost_wire::Message;
use ractor::ActorRef;
use tokio::sync::mpsc;

use crate::gateway::codec::Codec;
use crate::gateway::command::Command;
use crate::gateway::control::State;
use crate::gateway::control::peers::target;
use crate::gateway::crashes;
use crate::gateway::store::Store;
use crate::peer;
use crate::quarantine;

/// Forwards facts of this VM to the control actor until either side is gone.
pub async fn forward(
    mut facts: mpsc::Receiver<quarantine::Notification>,
    controller: ActorRef<Command>,
) {
    while let Some(notification) = facts.recv().await {
        if controller.cast(Command::CrashFact(notification)).is_err() {
            return;
        }
    }
}

impl<C: Codec, S: Store> State<C, S> {
    /// Sends a fact of this VM to the watchers, and what it changes to the availability zone.
    pub(super) fn share_crash_fact(&self, notification: quarantine::Notification) {
        let quarantine = &self.context.shared.quarantine;
        let (fingerprint, is_lift) = match &notification.fact {
            Fact::Mark(mark) => (mark.fingerprint, false),
            Fact::Lift(lift) => (lift.fingerprint, true),
        };
        let message = Message::Poison(vec![notification.fact]);
        for watcher in self.image.members.watchers() {
            if watcher.vm != self.context.own.vm {
                self.send(&target(watcher), &message);
            }
        }
        let is_quarantined = quarantine.status(&fingerprint, self.now()) == Status::Quarantined;
        if self.is_watcher() && (is_quarantined || is_lift) {
            self.send_to_zone(&message);
        }
        // The receiver is gone if its wait timed out.
        let _ = notification.done.send(());
    }

    /// Merges facts of the VM `from`. A watcher forwards what they change to its zone, and
    /// answers with its own facts if `from` does not know of a quarantine.
    pub(super) fn merge_crash_facts(&self, from: &peer::Target, facts: Vec<Fact>) {
        let now = self.now();
        let quarantine = &self.context.shared.quarantine;
        for fact in facts {
            let marked = match &fact {
                Fact::Mark(mark) => Some(mark.fingerprint),
                Fact::Lift(_) => None,
            };
            let changed = quarantine.merge(fact, now);
            if let Some(fingerprint) = &changed {
                crashes::count_change(&self.context.shared, fingerprint);
            }
            if !self.is_watcher() {
                continue;
            }
            let known = |fingerprint| Message::Poison(quarantine.facts_of(&fingerprint, now));
            if let Some(fingerprint) = changed {
                self.send_to_zone(&known(fingerprint));
            } else if let Some(fingerprint) = marked
                && quarantine.status(&fingerprint, now) == Status::Quarantined
            {
                self.send(from, &known(fingerprint));
            }
        }
    }

    pub(super) fn is_watcher(&self) -> bool {
        self.image.members.is_watcher(&self.context.own)
    }

    fn send_to_zone(&self, message: &Message) {
        let own = &self.context.own;
        let members = self.image.members.rows.values().map(|row| &row.value);
        for member in members.filter(|member| member.zone == own.zone && member.vm != own.vm) {
            self.send(&target(member), message);
        }
    }
}
