//! The state machine of one VM, driven by [`Machine::step`].

mod adopt;
mod confirm;
mod merge;
mod poll;
mod query;
mod receive;
mod report;
mod roster;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::id;
use crate::spread::{Action, Edition, Event, Member, MemberSet, Options, Roster, View};
use crate::time;

/// A query that has not been answered.
#[derive(Clone, Debug)]
struct PendingQuery {
    to: id::Vm,
    sent: time::Moment,
}

/// A revision that a majority holds, and when this VM learned of it.
#[derive(Clone, Copy, Debug)]
struct PendingRevision {
    revision: id::Revision,
    since: time::Moment,
}

/// Propagation and confirmation of revisions on one VM.
#[derive(Clone, Debug)]
pub struct Machine {
    me: Member,
    options: Options,
    /// VMs that membership considers reachable.
    peers: Vec<id::Vm>,
    leaving: bool,

    /// The catalogue that this VM holds.
    edition: Edition,
    /// Latest revision known to exist.
    latest: id::Revision,
    fetch_started_at: Option<time::Moment>,

    roster: Roster,
    roster_adopted_at: time::Moment,
    /// Members known to hold the current roster.
    roster_holders: MemberSet,
    /// Members that no longer run and are to be removed from the roster.
    removed: BTreeSet<Member>,

    /// For each member, the latest revision that it is known to hold.
    member_revisions: Vec<id::Revision>,
    /// For each member, when it last confirmed the current revision.
    confirmed_at: Vec<Option<time::Moment>>,
    /// When the store was last known to hold nothing later than the current revision.
    store_confirmed_at: Option<time::Moment>,
    /// When the confirmation of the catalogue expires.
    valid_until: time::Moment,

    /// Latest revision known to be held by a majority.
    majority_revision: id::Revision,
    /// Revisions held by a majority, oldest first, while confirmations of earlier revisions
    /// may not have expired yet.
    pending_revisions: VecDeque<PendingRevision>,
    /// Latest revision known to be in force everywhere.
    in_force: id::Revision,
    /// When a VM outside the roster last sent its state.
    non_member_seen_at: Option<time::Moment>,

    pending_queries: BTreeMap<u64, PendingQuery>,
    last_query: u64,
    next_exchange: time::Moment,
    /// Until when exchanges use the shorter interval.
    active_until: time::Moment,
    poll_started_at: Option<time::Moment>,
    next_poll: time::Moment,
}

impl Machine {
    /// A machine without a catalogue, roster or peers.
    #[must_use]
    pub fn new(me: Member, options: Options, now: time::Moment) -> Self {
        Self {
            me,
            options,
            peers: Vec::new(),
            leaving: false,
            edition: Edition::default(),
            latest: id::Revision::default(),
            fetch_started_at: None,
            roster: Roster::default(),
            roster_adopted_at: now,
            roster_holders: MemberSet::default(),
            removed: BTreeSet::new(),
            member_revisions: Vec::new(),
            confirmed_at: Vec::new(),
            store_confirmed_at: None,
            valid_until: time::Moment::default(),
            majority_revision: id::Revision::default(),
            pending_revisions: VecDeque::new(),
            in_force: id::Revision::default(),
            non_member_seen_at: None,
            pending_queries: BTreeMap::new(),
            last_query: 0,
            next_exchange: now,
            active_until: now,
            poll_started_at: None,
            next_poll: now,
        }
    }

    /// Handles `event` and returns the resulting actions.
    pub fn step(
        &mut self,
        event: Event,
        now: time::Moment,
        rng: &mut impl rand::Rng,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.confirm_own_revision(now);
        match event {
            Event::Tick => self.tick(now, rng, &mut actions),
            Event::Peers(peers) => self.peers = peers,
            Event::Message { from, message } => {
                self.receive(&from, message, now, rng, &mut actions);
            }
            Event::Polled {
                started,
                edition,
                roster,
            } => {
                self.poll_started_at = None;
                self.adopt_edition(edition, now, rng, &mut actions);
                self.adopt_roster(roster, now);
                self.confirm_by_store(started);
                self.change_roster(now, &mut actions);
            }
            Event::PollFailed => self.poll_started_at = None,
            Event::Accepted { started, edition } => {
                self.adopt_edition(Some(edition), now, rng, &mut actions);
                self.confirm_by_store(started);
            }
            Event::Leave => {
                self.leaving = true;
                self.next_poll = now;
            }
            Event::Removed(member) => {
                self.removed.insert(member);
            }
        }
        self.extend_validity();
        self.update_in_force(now);
        actions
    }

    /// When the next [`Event::Tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> time::Moment {
        self.next_exchange.min(self.next_poll)
    }

    /// The current revision and the end of its validity.
    #[must_use]
    pub fn view(&self) -> View {
        let valid_until = if self.leaving {
            time::Moment::default()
        } else {
            self.valid_until
        };
        View {
            revision: self.edition.number,
            epoch: self.roster.epoch,
            valid_until,
        }
    }

    /// The member that this VM is.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The current catalogue.
    #[must_use]
    pub fn edition(&self) -> &Edition {
        &self.edition
    }

    /// The current roster.
    #[must_use]
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Whether a revision later than the current one is known to exist.
    fn is_behind(&self) -> bool {
        self.latest > self.edition.number
    }

    fn tick(&mut self, now: time::Moment, rng: &mut impl rand::Rng, actions: &mut Vec<Action>) {
        if now >= self.next_poll {
            self.poll(now, rng, actions);
        }
        if now >= self.next_exchange {
            self.query_peers(now, rng, actions);
        }
    }
}
