//! Contacting VMs that are not members.

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::id;
use crate::membership::fleet::Purpose;
use crate::membership::{Action, Fleet, Member};
use crate::time;

/// Number of VMs contacted per period while no peer is present.
const INITIAL_CONTACTS: usize = 3;

impl Fleet {
    /// Replaces the list of VMs to contact, from the platform or the settings. States and
    /// incarnations are ignored, because the list may be out of date.
    pub fn set_listed(&mut self, members: impl IntoIterator<Item = Member>) {
        self.listed = members
            .into_iter()
            .filter(|member| member.vm != self.me.vm)
            .map(|member| (member.vm.clone(), member))
            .collect();
        self.is_stale = true;
    }

    /// Pings VMs that may be alive but are not members.
    pub(super) fn contact(&mut self, rng: &mut impl Rng) -> Vec<Action> {
        let count = if self.present == 0 {
            INITIAL_CONTACTS
        } else {
            1
        };
        let candidates = match self.pop_disputed() {
            Some(member) => vec![member],
            None => self.sample_contact_candidates(count, rng),
        };
        candidates
            .into_iter()
            .map(|member| self.ping(Purpose::Contact, member))
            .collect()
    }

    fn sample_contact_candidates(&self, count: usize, rng: &mut impl Rng) -> Vec<Member> {
        self.contact_candidates
            .choose_multiple(rng, count)
            .filter_map(|vm| self.contact_candidate(vm))
            .collect()
    }

    /// The next VM that a peer reports as present.
    fn pop_disputed(&mut self) -> Option<Member> {
        let vm = self.disputed.pop_front()?;
        self.get(&vm)
            .filter(|member| !member.state.is_present())
            .cloned()
    }

    /// Collects the VMs that are listed or were members and are not present.
    pub(super) fn find_contact_candidates(&mut self) {
        let unknown = self
            .listed
            .keys()
            .filter(|vm| !self.records.contains_key(*vm));
        let departed = self
            .records
            .values()
            .filter(|record| !record.member.state.is_present())
            .map(|record| &record.member.vm);
        self.contact_candidates = unknown.chain(departed).cloned().collect();
    }

    /// The record or list entry of a contact candidate.
    fn contact_candidate(&self, vm: &id::Vm) -> Option<Member> {
        self.get(vm).or_else(|| self.listed.get(vm)).cloned()
    }

    /// Forgets VMs that are not listed and have been dead or left for longer than `forget_after`.
    pub(super) fn forget(&mut self, now: time::Moment) {
        let (listed, limit) = (&self.listed, self.options.forget_after);
        self.records.retain(|vm, record| {
            record.member.state.is_present()
                || listed.contains_key(vm)
                || now.since(record.since) < limit
        });
    }
}
