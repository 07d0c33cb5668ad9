//! Snapshot of the membership state.

use crate::id;
use crate::membership::{Fleet, Member, State};

/// All present members at one point in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// This VM.
    pub me: Member,
    /// All other present members, by name.
    pub peers: Vec<Member>,
    /// The peers that receive changes first. They change only when members join or leave.
    pub neighbours: Vec<Member>,
}

impl View {
    /// The present member with this name, which may be this VM.
    #[must_use]
    pub fn get(&self, vm: &id::Vm) -> Option<&Member> {
        if self.me.vm == *vm {
            return Some(&self.me);
        }
        let at = self.peers.binary_search_by(|peer| peer.vm.cmp(vm)).ok()?;
        self.peers.get(at)
    }

    /// Number of present members, including this VM.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len() + 1
    }

    /// Always false: this VM is always present.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        false
    }

    /// Peers that are alive, and neither suspect nor leaving.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.peers.iter().filter(|peer| peer.state == State::Alive)
    }
}

impl Fleet {
    /// All present members.
    #[must_use]
    pub fn view(&self) -> View {
        View {
            me: self.me.clone(),
            peers: self.present().cloned().collect(),
            neighbours: self.neighbours().cloned().collect(),
        }
    }
}
