//! Adopts and changes the roster.

use crate::id;
use crate::spread::{Action, Machine, MemberSet, Roster};
use crate::time;

impl Machine {
    /// Adopts `roster` if it is later than the current one.
    pub(super) fn adopt_roster(&mut self, roster: Option<Roster>, now: time::Moment) {
        let Some(roster) = roster else { return };
        if roster.epoch <= self.roster.epoch {
            return;
        }
        let held = roster.members().iter().map(|member| {
            let index = self.roster.index_of(member);
            index.map_or_else(Default::default, |index| self.member_revisions[index])
        });
        self.member_revisions = held.collect();
        self.confirmed_at = vec![None; roster.members().len()];
        self.roster_holders = MemberSet::empty(roster.members().len());
        self.removed
            .retain(|member| roster.index_of(member).is_some());
        self.roster = roster;
        self.roster_adopted_at = now;
        self.mark_earlier_runs_removed(&self.me.vm.clone(), self.me.run);
        self.record_own_state(now);
        self.start_active_period(now);
    }

    /// Marks members that are other runs of `vm` than `run` as removed.
    pub(super) fn mark_earlier_runs_removed(&mut self, vm: &id::Vm, run: id::Run) {
        let members = self.roster.members().iter();
        let earlier = members.filter(|member| member.vm == *vm && member.run != run);
        self.removed.extend(earlier.cloned());
    }

    /// Records the revision and roster that this VM holds.
    pub(super) fn record_own_state(&mut self, now: time::Moment) {
        if let Some(index) = self.roster.index_of(&self.me) {
            self.member_revisions[index] = self.edition.number;
            self.roster_holders.insert(index);
        }
        self.confirm_own_revision(now);
    }

    /// Adds this VM to the roster, or removes this VM or a member marked as removed.
    ///
    /// Changes one member at a time, and only once a majority holds the current roster.
    /// Otherwise a partition that still confirms itself by an older roster could keep
    /// serving beside a new majority that shares no member with its own.
    pub(super) fn change_roster(&mut self, now: time::Moment, actions: &mut Vec<Action>) {
        if !self.majority_holds_roster() {
            return;
        }
        if let Some(roster) = self.next_roster() {
            self.next_poll = now;
            actions.push(Action::WriteRoster(roster));
        }
    }

    fn next_roster(&self) -> Option<Roster> {
        let is_member = self.roster.index_of(&self.me).is_some();
        if is_member && self.leaving {
            return Some(self.roster.without(&self.me));
        }
        if !is_member && !self.leaving {
            return Some(self.roster.with(self.me.clone()));
        }
        let removed = self.removed.first().filter(|_| self.is_poller())?;
        Some(self.roster.without(removed))
    }

    fn majority_holds_roster(&self) -> bool {
        let members = self.roster.members().iter().enumerate();
        let holders = members.filter(|(index, member)| {
            self.roster_holders.contains(*index) || self.removed.contains(member)
        });
        self.roster.members().is_empty() || holders.count() >= self.roster.majority()
    }
}
