//! Adopts new revisions and forwards them to peers.

use std::sync::Arc;

use rand::seq::IndexedRandom;

use crate::catalogue::Catalogue;
use crate::id;
use crate::spread::{Action, Edition, Machine, Message, Patch};
use crate::time;

impl Machine {
    /// Adopts `edition` if it is later than the current one.
    ///
    /// The comparison keeps revisions monotonic although messages and polls may be
    /// duplicated, delayed or reordered. A text that does not parse is rejected; the
    /// VM is then behind, and stops serving when its confirmation expires.
    pub(super) fn adopt_edition(
        &mut self,
        edition: Option<Edition>,
        now: time::Moment,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<Action>,
    ) {
        let Some(edition) = edition else { return };
        if edition.number <= self.edition.number {
            return;
        }
        self.note_latest(edition.number, now);
        let Ok(catalogue) = Catalogue::from_toml(&edition.text) else {
            return;
        };
        let patch = Patch::between(&self.edition, &edition);
        self.edition = edition;
        self.fetch_started_at = None;
        self.confirmed_at.fill(None);
        self.record_own_state(now);
        self.push(&patch, rng, actions);
        actions.push(Action::Publish(Arc::new(catalogue)));
    }

    /// Records that `revision` exists.
    pub(super) fn note_latest(&mut self, revision: id::Revision, now: time::Moment) {
        if revision > self.latest {
            self.latest = revision;
            self.start_active_period(now);
        }
    }

    /// Requests the catalogue of `from` unless another request is in flight.
    pub(super) fn request_edition(
        &mut self,
        from: &id::Vm,
        now: time::Moment,
        actions: &mut Vec<Action>,
    ) {
        let in_flight = |since| now.since(since) < self.options.fetch_timeout;
        if self.fetch_started_at.is_some_and(in_flight) {
            return;
        }
        self.fetch_started_at = Some(now);
        actions.push(Action::Send {
            to: from.clone(),
            message: Message::FetchEdition,
        });
    }

    /// Pushes `patch` to random peers.
    ///
    /// A VM that has just started does not push, except for revision 1: without a base
    /// that peers share, the patch would be the full text, which they already have.
    fn push(&self, patch: &Patch, rng: &mut impl rand::Rng, actions: &mut Vec<Action>) {
        let first = id::Revision::new(1);
        if patch.base < first && patch.number != first {
            return;
        }
        for to in self.peers.choose_multiple(rng, self.options.push_fanout) {
            actions.push(Action::Send {
                to: to.clone(),
                message: Message::Push(patch.clone()),
            });
        }
    }
}
