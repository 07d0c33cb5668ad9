//! Planned stop of this VM.

use crate::id;
use crate::membership::{Action, Fleet, Message, State};

impl Fleet {
    /// Begins a planned stop, and notifies the neighbours immediately. This VM still answers
    /// messages.
    pub fn begin_leave(&mut self) -> Vec<Action> {
        self.announce(State::Leaving)
    }

    /// Completes a planned stop, so that peers do not have to detect it.
    pub fn finish_leave(&mut self) -> Vec<Action> {
        self.announce(State::Left)
    }

    fn announce(&mut self, state: State) -> Vec<Action> {
        if self.me.state < state {
            self.declare(state, self.me.incarnation.next());
        }
        self.refresh();
        let neighbours = self.neighbours.clone();
        self.gossip(&neighbours)
    }

    /// Sends recent changes to these peers.
    pub(super) fn gossip(&mut self, targets: &[id::Vm]) -> Vec<Action> {
        let members = targets.iter().filter_map(|vm| self.get(vm).cloned());
        members
            .collect::<Vec<_>>()
            .into_iter()
            .map(|to| {
                let news = self.news(&to.vm);
                let message = Message::Gossip { news };
                Action::Send { to, message }
            })
            .collect()
    }
}
