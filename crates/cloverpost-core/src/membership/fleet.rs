//! Membership state of one VM.

use std::collections::{BTreeMap, VecDeque};

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::id;
use crate::membership::action::{Reply, Token};
use crate::membership::broadcast_queue::BroadcastQueue;
use crate::membership::record::Record;
use crate::membership::{
    Action, Digest, Event, Incarnation, Member, Message, News, Options, State, digest,
};
use crate::time;

/// Purpose of a request.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// A direct ping.
    Probe(id::Vm),
    /// An indirect ping, through another VM.
    Relayed(id::Vm),
    /// A ping on behalf of another VM.
    Relay(Reply),
    /// A ping of a VM that is not a member.
    Contact,
    /// An exchange of all records.
    Sync,
}

/// A ping that is not yet answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub started: time::Moment,
    pub is_relayed: bool,
}

/// Membership state of one VM.
///
/// A state machine without I/O: methods take the current time where they need it, and return
/// the actions to perform.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub(super) options: Options,
    pub(super) me: Member,
    /// Peers, including those that recently died or left.
    pub(super) records: BTreeMap<id::Vm, Record>,
    /// The platform's list, without this VM.
    pub(super) listed: BTreeMap<id::Vm, Member>,
    /// VMs that are dead or left according to this VM but present according to a peer; contacted
    /// first.
    pub(super) disputed: VecDeque<id::Vm>,
    /// Peers to ping in the rest of this round.
    pub(super) round: Vec<id::Vm>,
    /// Pending pings.
    pub(super) probes: BTreeMap<id::Vm, Probe>,
    /// Unanswered requests of this VM.
    pub(super) requests: BTreeMap<Token, Purpose>,
    pub(super) broadcasts: BroadcastQueue,
    /// Digest of all present members, this VM included.
    pub(super) digest: Digest,
    /// Number of present peers.
    pub(super) present: usize,
    pub(super) neighbours: Vec<id::Vm>,
    /// VMs that may be alive but are not members.
    pub(super) contact_candidates: Vec<id::Vm>,
    /// Whether members or the list changed since neighbours and contact candidates were last
    /// computed.
    pub(super) is_stale: bool,
    /// Suspects and when each is declared dead.
    pub(super) suspects: BTreeMap<id::Vm, time::Moment>,
    pub(super) next_forget: time::Moment,
    pub(super) changes: u64,
    /// Number of consecutive heartbeats with a different digest.
    pub(super) mismatches: u32,
    pub(super) last_tick: Option<time::Moment>,
    pub(super) next_period: time::Moment,
    /// Earliest time of the next full exchange; zero if none was requested yet or the last one failed.
    pub(super) next_sync: time::Moment,
    next_token: u64,
    /// Hash of this VM's name.
    hash: u64,
}

impl Fleet {
    /// A VM without known peers. `me` is assumed to be alive.
    #[must_use]
    pub fn new(me: Member, options: Options) -> Self {
        let me = Member {
            state: State::Alive,
            ..me
        };
        let mut digest = Digest::default();
        digest.toggle(&me);
        let mut broadcasts = BroadcastQueue::default();
        broadcasts.push(&me.vm);
        Self {
            hash: digest::hash(me.vm.as_str()),
            options,
            me,
            records: BTreeMap::new(),
            listed: BTreeMap::new(),
            disputed: VecDeque::new(),
            round: Vec::new(),
            probes: BTreeMap::new(),
            requests: BTreeMap::new(),
            broadcasts,
            digest,
            present: 0,
            neighbours: Vec::new(),
            contact_candidates: Vec::new(),
            is_stale: false,
            suspects: BTreeMap::new(),
            next_forget: time::Moment::default(),
            changes: 0,
            mismatches: 0,
            last_tick: None,
            next_period: time::Moment::default(),
            next_sync: time::Moment::default(),
            next_token: 0,
        }
    }

    /// This VM.
    #[must_use]
    pub const fn me(&self) -> &Member {
        &self.me
    }

    /// Counter that is incremented by every change visible in [`Self::view`].
    #[must_use]
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Present peers, by name.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.records
            .values()
            .map(|record| &record.member)
            .filter(|member| member.state.is_present())
    }

    /// The record of a peer, if known.
    #[must_use]
    pub fn get(&self, vm: &id::Vm) -> Option<&Member> {
        self.records.get(vm).map(|record| &record.member)
    }

    /// Peers that receive changes first.
    ///
    /// Each VM ranks its peers by a hash of both names. The choice is random over the fleet,
    /// stable while members stay, and requires no coordination. Connections to neighbours stay
    /// open.
    pub fn neighbours(&self) -> impl Iterator<Item = &Member> {
        self.neighbours
            .iter()
            .filter_map(|vm| self.get(vm))
            .filter(|member| member.state.is_present())
    }

    /// Recomputes neighbours and contact candidates if they may have changed.
    pub(super) fn refresh(&mut self) {
        if std::mem::take(&mut self.is_stale) {
            self.changes += 1;
            self.choose_neighbours();
            self.find_contact_candidates();
        }
    }

    fn choose_neighbours(&mut self) {
        let mut ranked: Vec<(u64, &id::Vm)> = self
            .records
            .values()
            .filter(|record| record.member.state.is_present())
            .map(|record| {
                (
                    mix(self.hash ^ record.hash.rotate_left(1)),
                    &record.member.vm,
                )
            })
            .collect();
        let count = self.options.neighbours.min(ranked.len());
        if count < ranked.len() {
            ranked.select_nth_unstable(count);
        }
        let chosen = ranked[..count]
            .iter()
            .map(|(_, vm)| (*vm).clone())
            .collect();
        self.neighbours = chosen;
    }

    /// Random present peers, excluding `except` and suspects.
    pub(super) fn sample(&self, count: usize, except: &id::Vm, rng: &mut impl Rng) -> Vec<Member> {
        self.present()
            .filter(|member| member.vm != *except && member.state != State::Suspect)
            .cloned()
            .choose_multiple(rng, count)
    }

    /// Creates a request with a new token.
    pub(super) fn request(&mut self, purpose: Purpose, to: Member, message: Message) -> Action {
        let token = Token(self.next_token);
        self.next_token += 1;
        self.requests.insert(token, purpose);
        Action::Request { token, to, message }
    }

    /// Membership data for a heartbeat to `to`.
    ///
    /// If `to` is recorded as suspect, dead or left, that record comes first, because only `to`
    /// can refute it.
    pub(super) fn news(&mut self, to: &id::Vm) -> News {
        let limit = self.options.transmissions * binary_digits(self.present + 1);
        let queued = self.broadcasts.take(self.options.changes, limit);
        let refutable = self
            .get(to)
            .filter(|member| !matches!(member.state, State::Alive | State::Leaving))
            .cloned();
        let changes = queued
            .iter()
            .filter(|vm| *vm != to && **vm != self.me.vm)
            .filter_map(|vm| self.get(vm).cloned());
        News {
            sender: self.me.clone(),
            digest: self.digest,
            changes: refutable.into_iter().chain(changes).collect(),
        }
    }

    /// Updates this VM's own record.
    pub(super) fn declare(&mut self, state: State, incarnation: Incarnation) {
        self.digest.toggle(&self.me);
        self.me.state = state;
        self.me.incarnation = incarnation;
        self.digest.toggle(&self.me);
        self.broadcasts.push(&self.me.vm);
        self.changes += 1;
    }
}

/// Converts an event to an action.
pub(super) fn report(event: Option<Event>) -> Option<Action> {
    event.map(Action::Report)
}

/// Number of binary digits of `number`.
fn binary_digits(number: usize) -> u32 {
    usize::BITS - number.leading_zeros()
}

/// Spreads `value` over all 64 bits (the finaliser of `SplitMix64`).
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
