//! Actions that are due.

use crate::billing::Watermark;
use crate::billing::machine::{Action, Machine};
use crate::time;

impl Machine {
    /// Returns the actions that are due at `now`.
    pub fn poll(&mut self, now: time::Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        self.poll_own(&mut actions, now);
        self.poll_copies(&mut actions, now);
        self.poll_holder(&mut actions, now);
        let released = self
            .waiting
            .release(&self.pending, &self.copies, &self.options, now);
        let release = |(sequence, durability)| Action::Release {
            sequence,
            durability,
        };
        actions.extend(released.into_iter().map(release));
        actions
    }

    fn poll_own(&mut self, actions: &mut Vec<Action>, now: time::Moment) {
        if !self.is_due(now) {
            return;
        }
        if let Some(step) = self.ledger.step(&self.pending, now) {
            actions.push(Action::Call { source: None, step });
        }
    }

    /// Whether a segment should be written. If copies are not acknowledged in time,
    /// it is written early, since the record is durable only in the store.
    fn is_due(&self, now: time::Moment) -> bool {
        let waited = |since: time::Moment| now.since(since);
        let aged = self.pending.oldest().map(waited) >= Some(self.options.segment_age);
        let overdue = self.waiting.oldest().map(waited) >= Some(2 * self.options.ack_timeout);
        let no_peers = self.copies.target_copies() == 0 && self.waiting.oldest().is_some();
        let full = self.pending.encoded_bytes() >= self.options.segment_bytes;
        let unread = self.ledger.read_from().is_none();
        aged || overdue || no_peers || full || unread || self.flushing
    }

    /// Copies are sent only once `read_from` is known. A holder may take over as soon
    /// as it has a copy, and this VM must then read the segments appended since.
    fn poll_copies(&mut self, actions: &mut Vec<Action>, now: time::Moment) {
        if self.ledger.read_from().is_none() {
            return;
        }
        let before = self.mark;
        self.advance_mark();
        let mut messages = self.copies.poll(&self.pending, self.next, self.mark, now);
        if self.mark.sequence > before.sequence {
            messages.extend(self.copies.forget(self.mark));
        }
        let send = |(to, message)| Action::Send { to, message };
        actions.extend(messages.into_iter().map(send));
    }

    /// Advances the watermark to the oldest pending record, unless a later record is
    /// already stored: its segment would be before the watermark, and a takeover
    /// would skip that segment and bill the record again.
    fn advance_mark(&mut self) {
        let Some(segment) = self.ledger.read_from() else {
            return;
        };
        if self.pending.is_contiguous(self.next) {
            let sequence = self.pending.first().unwrap_or(self.next);
            self.mark = Watermark { sequence, segment };
        }
    }

    fn poll_holder(&mut self, actions: &mut Vec<Action>, now: time::Moment) {
        for (source, step) in self.holder.steps(now) {
            let source = Some(source);
            actions.push(Action::Call { source, step });
        }
    }
}
