//! Messages to holders.

use crate::billing::copies::Peer;
use crate::billing::{
    Copies, Copy, Forget, Message, Options, Pending, Sequence, Source, Watermark,
};
use crate::id;
use crate::time;

/// Maximum number of unacknowledged records in flight to a holder.
const MAX_UNACKED: u64 = 4_096;

impl Copies {
    /// Returns the messages that are due. `pending` holds the records before `next`
    /// that are not known to be in the store; `mark` is the watermark.
    pub fn poll(
        &mut self,
        pending: &Pending,
        next: Sequence,
        mark: Watermark,
        now: time::Moment,
    ) -> Vec<(id::Vm, Message)> {
        self.time_out(now);
        self.select_holders(now);
        let mut messages = Vec::new();
        for (vm, peer) in self.peers.iter_mut().filter(|(_, peer)| peer.chosen) {
            while let Some(copy) = peer.next_copy(&self.source, &self.options, pending, next, mark)
            {
                peer.awaiting_ack_since.get_or_insert(now);
                messages.push((vm.clone(), Message::Copy(copy)));
            }
        }
        messages
    }

    /// Returns the messages that tell every holder which records are in the store.
    #[must_use]
    pub fn forget(&self, mark: Watermark) -> Vec<(id::Vm, Message)> {
        let held = self.peers.iter().filter(|(_, peer)| peer.run.is_some());
        let source = &self.source;
        let message = |vm: &id::Vm| {
            let source = source.clone();
            (vm.clone(), Message::Forget(Forget { source, mark }))
        };
        held.map(|(vm, _)| message(vm)).collect()
    }

    fn time_out(&mut self, now: time::Moment) {
        for peer in self.peers.values_mut().filter(|peer| peer.chosen) {
            let is_overdue = |since: time::Moment| now.since(since) >= self.options.ack_timeout;
            if !peer.awaiting_ack_since.is_some_and(is_overdue) {
                continue;
            }
            peer.misses += 1;
            peer.awaiting_ack_since = None;
            peer.sent = peer.acked;
            if peer.misses >= self.options.max_misses {
                peer.exclude(now + self.options.exclusion_time);
                self.reselect_at = Some(now);
            }
        }
    }
}

impl Peer {
    /// Returns the next message to the peer; `None` if all records are sent or too
    /// many are unacknowledged.
    fn next_copy(
        &mut self,
        source: &Source,
        options: &Options,
        pending: &Pending,
        next: Sequence,
        mark: Watermark,
    ) -> Option<Copy> {
        let from = self.sent.max(mark.sequence);
        let ahead = from
            .get()
            .saturating_sub(self.acked.max(mark.sequence).get());
        if from >= next || ahead >= MAX_UNACKED {
            return None;
        }
        let records = pending.copy(from, options.segment_bytes);
        let last = records.last().map(|(sequence, _)| *sequence);
        let full = last.is_some_and(|last| pending.has_after(last));
        let until = last.filter(|_| full).map_or(next, Sequence::next);
        self.sent = until;
        Some(Copy {
            source: source.clone(),
            stream: self.stream,
            mark,
            from,
            until,
            records,
        })
    }
}
