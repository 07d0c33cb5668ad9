//! Merging of records from peers.

use crate::membership::fleet::report;
use crate::membership::record::Record;
use crate::membership::{Action, Event, Fleet, Member, State};
use crate::time;

impl Fleet {
    /// Merges a record, and queues it for broadcast if it changed anything.
    pub(super) fn merge(&mut self, member: Member, now: time::Moment) -> Option<Action> {
        let vm = member.vm.clone();
        let changes = self.changes;
        let action = self.merge_record(member, now);
        if self.changes != changes {
            self.broadcasts.push(&vm);
        }
        action
    }

    /// Merges all records of a peer, and returns how many changed.
    ///
    /// They are not broadcast: when a whole region starts, every VM would broadcast every other
    /// one for minutes. VMs that lack them are found by their digest.
    pub(super) fn merge_all(
        &mut self,
        members: Vec<Member>,
        now: time::Moment,
        actions: &mut Vec<Action>,
    ) -> u64 {
        let changes = self.changes;
        for member in members {
            actions.extend(self.merge_record(member, now));
        }
        self.changes - changes
    }

    /// Merges a record.
    fn merge_record(&mut self, member: Member, now: time::Moment) -> Option<Action> {
        if member.vm == self.me.vm {
            self.refute(&member);
            return None;
        }
        let Some(known) = self.records.get(&member.vm) else {
            return self.insert_unknown(member, now);
        };
        if member.supersedes(&known.member) {
            return self.replace(member, now);
        }
        if member.state.is_present() && !known.member.state.is_present() {
            self.dispute(&member);
        }
        None
    }

    /// Refutes a record of this VM that does not match its state.
    fn refute(&mut self, member: &Member) {
        if member.supersedes(&self.me) {
            self.declare(self.me.state, member.incarnation.next());
        }
    }

    /// Adds a VM that was unknown.
    fn insert_unknown(&mut self, member: Member, now: time::Moment) -> Option<Action> {
        if !member.state.is_present() {
            // Kept so that delayed reports of it as present are recognised, but not broadcast: VMs
            // that forget it at different times would otherwise circulate it indefinitely.
            self.records
                .insert(member.vm.clone(), Record::new(member, now));
            return None;
        }
        self.replace(member, now)
    }

    /// Replaces the record of a VM by a newer one.
    pub(super) fn replace(&mut self, member: Member, now: time::Moment) -> Option<Action> {
        let event = Event::between(self.get(&member.vm), &member);
        let record = Record::new(member, now);
        if record.member.state == State::Suspect {
            let limit = self.options.suspicion * decimal_digits(self.present);
            self.suspects.insert(record.member.vm.clone(), now + limit);
        } else {
            self.suspects.remove(&record.member.vm);
        }
        let after = record.member.clone();
        let before = self.records.insert(after.vm.clone(), record);
        self.update_counters(before.map(|record| record.member).as_ref(), &after);
        report(event)
    }

    /// Updates the digest and the counters.
    fn update_counters(&mut self, before: Option<&Member>, after: &Member) {
        self.changes += 1;
        let was_present = before.is_some_and(|member| member.state.is_present());
        let is_present = after.state.is_present();
        if let Some(before) = before.filter(|_| was_present) {
            self.digest.toggle(before);
            self.present -= 1;
        }
        if is_present {
            self.digest.toggle(after);
            self.present += 1;
        }
        if was_present != is_present {
            self.is_stale = true;
        }
    }

    /// Records that a peer reports a VM as present that is dead or left according to this VM. It
    /// is contacted to resolve the conflict.
    fn dispute(&mut self, member: &Member) {
        if !self.disputed.contains(&member.vm) {
            self.disputed.push_back(member.vm.clone());
        }
    }
}

/// Number of decimal digits of `number`, at least one.
fn decimal_digits(number: usize) -> u32 {
    number.checked_ilog10().unwrap_or(0) + 1
}
