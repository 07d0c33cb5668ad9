//! Merges the state of a peer into the local one.
//!
//! Monotonic values (revisions, rosters and their holders) are merged from any
//! message. Ages are merged only from answers, and count from the time at which the
//! query was sent.

use std::time::Duration;

use crate::id;
use crate::spread::{Action, Machine, Message, State};
use crate::time;

impl Machine {
    pub(super) fn merge_state(
        &mut self,
        from: &id::Vm,
        state: &State,
        sent: Option<time::Moment>,
        now: time::Moment,
        actions: &mut Vec<Action>,
    ) {
        self.note_latest(state.latest, now);
        if state.revision > self.edition.number {
            self.request_edition(from, now, actions);
        }
        if state.epoch > self.roster.epoch {
            actions.push(Action::Send {
                to: from.clone(),
                message: Message::FetchRoster,
            });
        }
        if state.epoch == self.roster.epoch {
            self.merge_holders(from, state, now);
        }
        if let Some(sent) = sent {
            self.detect_restart(from, state, sent);
            self.merge_ages(from, state, sent);
        }
    }

    fn merge_holders(&mut self, from: &id::Vm, state: &State, now: time::Moment) {
        for (index, held) in self.member_revisions.iter_mut().enumerate() {
            if let Some(revision) = state.lags.held_revision(index, state.revision) {
                *held = (*held).max(revision);
            }
            if state.holders.is_none() {
                self.roster_holders.insert(index);
            }
        }
        if let Some(holders) = &state.holders {
            self.roster_holders.merge(holders);
        }
        if self.roster.find(from, state.run).is_none() {
            self.non_member_seen_at = Some(now);
        }
    }

    /// Marks earlier runs of a VM as removed when a different run answers.
    ///
    /// A VM runs one process at a time, so a run that answers a query sent after the
    /// roster was adopted started later than the run that the roster lists.
    fn detect_restart(&mut self, from: &id::Vm, state: &State, sent: time::Moment) {
        if sent >= self.roster_adopted_at {
            self.mark_earlier_runs_removed(from, state.run);
        }
    }

    /// Merges the ages of confirmations that apply to the local revision.
    ///
    /// A confirmation by the store applies if the peer's revision is the local one or
    /// an earlier one. Confirmations by members apply only to the same revision and
    /// roster, and only if the peer knows of no later revision.
    fn merge_ages(&mut self, from: &id::Vm, state: &State, sent: time::Moment) {
        if state.revision <= self.edition.number {
            let confirmed_at = state.store_age.and_then(|age| before(sent, age));
            self.store_confirmed_at = self.store_confirmed_at.max(confirmed_at);
        }
        let same = state.epoch == self.roster.epoch && state.revision == self.edition.number;
        if !same || state.latest > state.revision {
            return;
        }
        if let Some(index) = self.roster.find(from, state.run) {
            self.confirmed_at[index] = self.confirmed_at[index].max(Some(sent));
        }
        let Some(ages) = &state.ages else { return };
        for (index, confirmed_at) in self.confirmed_at.iter_mut().enumerate() {
            let age = ages.get(index, self.options.window);
            *confirmed_at = (*confirmed_at).max(age.and_then(|age| before(sent, age)));
        }
    }
}

/// The moment `age` before `moment`, or `None` if it precedes the clock's start.
fn before(moment: time::Moment, age: Duration) -> Option<time::Moment> {
    let since_start = moment.since_start().checked_sub(age)?;
    Some(time::Moment::new(since_start))
}
