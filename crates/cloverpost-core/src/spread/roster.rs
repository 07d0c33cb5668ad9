//! The roster, over which majorities are counted.

use crate::id;
use crate::spread::Member;

/// The voting members of the fleet, as recorded in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Roster {
    /// Number of the roster; each change increments it.
    pub epoch: id::Epoch,
    /// Members in ascending order.
    members: Vec<Member>,
}

impl Roster {
    /// The members in ascending order.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Number of members that form a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Index of `member`.
    #[must_use]
    pub fn index_of(&self, member: &Member) -> Option<usize> {
        self.members.binary_search(member).ok()
    }

    /// Index of the member that is `run` of `vm`.
    #[must_use]
    pub fn find(&self, vm: &id::Vm, run: id::Run) -> Option<usize> {
        let first = self.members.partition_point(|member| member.vm < *vm);
        let member = self.members.get(first)?;
        (member.vm == *vm && member.run == run).then_some(first)
    }

    /// Whether any run of `vm` is a member.
    #[must_use]
    pub fn contains_vm(&self, vm: &id::Vm) -> bool {
        let found = self.members.binary_search_by(|member| member.vm.cmp(vm));
        found.is_ok()
    }

    /// The next roster, with `member` added and any earlier run of its VM removed.
    ///
    /// Replacing both in one step is safe: the earlier run has ended, so a majority of
    /// the live members shares a member with every majority of the new roster.
    #[must_use]
    pub fn with(&self, member: Member) -> Self {
        let mut members = self.members.clone();
        members.retain(|other| other.vm != member.vm);
        members.push(member);
        members.sort();
        self.next(members)
    }

    /// The next roster, with `member` removed.
    #[must_use]
    pub fn without(&self, member: &Member) -> Self {
        let mut members = self.members.clone();
        members.retain(|other| other != member);
        self.next(members)
    }

    fn next(&self, members: Vec<Member>) -> Self {
        Self {
            epoch: self.epoch.next(),
            members,
        }
    }
}
