//! Handles messages from peers.

use crate::id;
use crate::spread::{Action, Machine, Message};
use crate::time;

impl Machine {
    pub(super) fn receive(
        &mut self,
        from: &id::Vm,
        message: Message,
        now: time::Moment,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<Action>,
    ) {
        let mut reply = None;
        match message {
            Message::Ask {
                number,
                doubt,
                state,
            } => {
                self.merge_state(from, &state, None, now, actions);
                let state = self.state(now, doubt);
                reply = Some(Message::Answer { number, state });
            }
            Message::Answer { number, state } => {
                let sent = self.complete_query(number, from);
                self.merge_state(from, &state, sent, now, actions);
            }
            Message::Push(patch) => {
                self.note_latest(patch.number, now);
                match patch.apply(&self.edition) {
                    Some(edition) => self.adopt_edition(Some(edition), now, rng, actions),
                    None if self.is_behind() => self.request_edition(from, now, actions),
                    None => {}
                }
            }
            Message::FetchEdition => reply = Some(Message::Edition(self.edition.clone())),
            Message::Edition(edition) => self.adopt_edition(Some(edition), now, rng, actions),
            Message::FetchRoster => reply = Some(Message::Roster(self.roster.clone())),
            Message::Roster(roster) => self.adopt_roster(Some(roster), now),
        }
        if let Some(message) = reply {
            let to = from.clone();
            actions.push(Action::Send { to, message });
        }
    }

    /// Removes the query that an answer belongs to and returns when it was sent.
    /// Duplicate answers, and answers from a VM that was not queried, return `None`.
    fn complete_query(&mut self, number: u64, from: &id::Vm) -> Option<time::Moment> {
        let query = self.pending_queries.remove(&number)?;
        (query.to == *from).then_some(query.sent)
    }
}
