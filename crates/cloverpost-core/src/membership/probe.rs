//! Direct and indirect pings.

use rand::Rng;
use rand::seq::SliceRandom;

use crate::id;
use crate::membership::fleet::{Probe, Purpose};
use crate::membership::{Action, Fleet, Member, Message, State};
use crate::time;

impl Fleet {
    pub(super) fn probe_next(&mut self, now: time::Moment, rng: &mut impl Rng) -> Option<Action> {
        let member = self.next_of_round(rng)?;
        let probe = Probe {
            started: now,
            is_relayed: false,
        };
        // A ping of the previous round is still pending.
        if self.probes.contains_key(&member.vm) {
            return None;
        }
        self.probes.insert(member.vm.clone(), probe);
        Some(self.ping(Purpose::Probe(member.vm.clone()), member))
    }

    /// Creates a ping of `member`.
    pub(super) fn ping(&mut self, purpose: Purpose, member: Member) -> Action {
        let news = self.news(&member.vm);
        let target = member.vm.clone();
        self.request(purpose, member, Message::Ping { target, news })
    }

    /// The next present peer. Each round visits all peers in a new random order, so a failed peer
    /// is pinged by some VM within a few periods at any fleet size.
    fn next_of_round(&mut self, rng: &mut impl Rng) -> Option<Member> {
        if self.round.is_empty() {
            self.round = self.present().map(|member| member.vm.clone()).collect();
            self.round.shuffle(rng);
        }
        while let Some(vm) = self.round.pop() {
            let member = self.get(&vm).filter(|member| member.state.is_present());
            if let Some(member) = member {
                return Some(member.clone());
            }
        }
        None
    }

    /// Completes the ping of `vm`, unless the response came from another VM.
    pub(super) fn complete_probe(&mut self, vm: &id::Vm, by: &id::Vm) {
        if vm == by {
            self.probes.remove(vm);
        }
    }

    /// Pings `vm` indirectly, once, in case only the path from this VM is broken.
    pub(super) fn probe_indirectly(&mut self, vm: &id::Vm, rng: &mut impl Rng) -> Vec<Action> {
        let Some(probe) = self.probes.get_mut(vm).filter(|probe| !probe.is_relayed) else {
            return Vec::new();
        };
        probe.is_relayed = true;
        let Some(target) = self.get(vm).cloned() else {
            return Vec::new();
        };
        let relays = self.sample(self.options.relays, vm, rng);
        relays
            .into_iter()
            .map(|relay| {
                let news = self.news(&relay.vm);
                let target = target.clone();
                let message = Message::Relay { target, news };
                self.request(Purpose::Relayed(vm.clone()), relay, message)
            })
            .collect()
    }

    /// Repeats overdue pings indirectly, and suspects peers that answered neither way.
    pub(super) fn check_probes(&mut self, now: time::Moment, rng: &mut impl Rng) -> Vec<Action> {
        let options = self.options;
        let waited = |probe: &Probe| now.since(probe.started);
        let late = self.overdue(|probe| waited(probe) >= options.direct_timeout);
        let mut actions = Vec::new();
        for vm in late {
            actions.extend(self.probe_indirectly(&vm, rng));
        }
        for vm in self.overdue(|probe| waited(probe) >= options.probe_timeout) {
            self.probes.remove(&vm);
            actions.extend(self.suspect(&vm, now));
        }
        actions
    }

    /// Peers whose pending ping matches `is_late`.
    fn overdue(&self, is_late: impl Fn(&Probe) -> bool) -> Vec<id::Vm> {
        self.probes
            .iter()
            .filter(|(_, probe)| is_late(probe))
            .map(|(vm, _)| vm.clone())
            .collect()
    }

    /// Marks a peer as suspect.
    fn suspect(&mut self, vm: &id::Vm, now: time::Moment) -> Option<Action> {
        let known = self.get(vm)?;
        if !matches!(known.state, State::Alive | State::Leaving) {
            return None;
        }
        let suspect = Member {
            state: State::Suspect,
            ..known.clone()
        };
        self.merge(suspect, now)
    }

    /// Declares suspects dead that did not refute the suspicion in time.
    pub(super) fn declare_dead(&mut self, now: time::Moment) -> Vec<Action> {
        let dead: Vec<Member> = self
            .suspects
            .iter()
            .filter(|(_, deadline)| **deadline <= now)
            .filter_map(|(vm, _)| self.get(vm))
            .map(|member| Member {
                state: State::Dead,
                ..member.clone()
            })
            .collect();
        dead.into_iter()
            .filter_map(|member| self.merge(member, now))
            .collect()
    }
}
