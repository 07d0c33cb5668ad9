//! Exchange of upstream loads among the VMs of an availability zone.
//!
//! Each VM reports its loads to one aggregator of its zone, which replies with the sum.
//! Broadcasting would need a number of messages quadratic in the number of VMs.

use std::collections::BTreeSet;

use cloverpost_core::balance::{Aggregator, Digest, Message};
use cloverpost_core::directory::{Member, Table};
use cloverpost_core::id;

use crate::gateway::Shared;
use crate::gateway::codec::Codec;

/// Rounds without a reply after which the next VM is used as the aggregator.
const ROUNDS_BEFORE_FAILOVER: usize = 5;

/// Load reports of the zone and the state of this VM's own reports.
#[derive(Debug, Default)]
pub struct Loads {
    aggregator: Aggregator,
    /// Digest that was last reported or included in a total.
    last_reported: Digest,
    /// VMs whose last message had impossible speed samples.
    faulty: BTreeSet<id::Vm>,
    /// Consecutive rounds without a total from the aggregator.
    rounds_without_reply: usize,
}

/// A message and its recipient.
pub type OutgoingMessage = (Member, Message);

impl Loads {
    /// Returns the messages to send in this round.
    pub fn outgoing_messages<C: Codec>(
        &mut self,
        shared: &Shared<C>,
        members: &Table<Member>,
        own: &Member,
    ) -> Vec<OutgoingMessage> {
        let now = shared.clock.now();
        let ranked = members.ranked(&own.zone);
        let others: Vec<_> = ranked.iter().filter(|member| member.vm != own.vm).collect();
        let digest = shared.balancer().digest(now);
        if self.aggregator.has_reports(now) {
            let total = self.aggregator.total(&digest);
            shared.balancer().set_peer_loads(&total, &digest, now);
            self.last_reported = digest;
            let outgoing = |member: &&&Member| ((**member).clone(), Message::Total(total.clone()));
            return others.iter().map(outgoing).collect();
        }
        let is_aggregator = ranked.first().is_none_or(|first| first.vm == own.vm);
        let is_idle = digest.rows.is_empty() && self.last_reported.rows.is_empty();
        if is_aggregator || is_idle {
            return Vec::new();
        }
        // Without replies the aggregator may be down, so the next VM in rank is tried.
        let aggregator = others[self.rounds_without_reply / ROUNDS_BEFORE_FAILOVER % others.len()];
        self.rounds_without_reply += 1;
        self.last_reported = digest.clone();
        vec![((*aggregator).clone(), Message::Own(digest))]
    }

    /// Handles a message from another VM.
    pub fn handle_message<C: Codec>(&mut self, shared: &Shared<C>, from: id::Vm, message: Message) {
        let now = shared.clock.now();
        self.check_samples(&from, &message);
        match message {
            Message::Own(digest) => self.aggregator.insert(from, digest, now),
            Message::Total(total) => {
                self.rounds_without_reply = 0;
                shared
                    .balancer()
                    .set_peer_loads(&total, &self.last_reported, now);
            }
        }
    }
    /// Logs the first of a VM's messages with impossible speed samples.
    fn check_samples(&mut self, from: &id::Vm, message: &Message) {
        let (Message::Own(digest) | Message::Total(digest)) = message;
        let Some(row) = digest.impossible() else {
            self.faulty.remove(from);
            return;
        };
        if self.faulty.insert(from.clone()) {
            log::warn!(
                peer = from.as_str(), upstream = row.upstream.as_str(), samples:? = row.ratios;
                "a peer's speed samples are impossible and are bounded or ignored"
            );
        }
    }
}
