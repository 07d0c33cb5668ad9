//! Periodic work.

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::membership::{Action, Fleet};
use crate::time;

impl Fleet {
    /// Runs the work that is due. Must be called every [`crate::membership::Options::tick`].
    pub fn tick(&mut self, now: time::Moment, rng: &mut impl Rng) -> Vec<Action> {
        self.detect_pause(now);
        if now >= self.next_forget {
            self.next_forget = now + self.options.forget_every;
            self.forget(now);
        }
        self.refresh();
        let mut actions = self.check_probes(now, rng);
        actions.extend(self.declare_dead(now));
        if now >= self.next_period {
            // Jitter prevents VMs that started together from pinging in lockstep.
            let share = rng.random_range(0.9..1.1);
            self.next_period = now + self.options.period.mul_f64(share);
            actions.extend(self.probe_next(now, rng));
            actions.extend(self.contact(rng));
        }
        if !self.broadcasts.is_empty() {
            let some = self.neighbours.choose_multiple(rng, self.options.fanout);
            let some: Vec<_> = some.cloned().collect();
            actions.extend(self.gossip(&some));
        }
        actions
    }

    /// Prevents a VM that was paused from declaring its peers dead.
    ///
    /// After a pause, all pings appear unanswered and all suspicions unrefuted, because the
    /// responses have not been read yet. Pending pings are discarded, and the deadlines of
    /// suspects are extended by the length of the pause.
    fn detect_pause(&mut self, now: time::Moment) {
        let gap = self
            .last_tick
            .map_or(std::time::Duration::ZERO, |last| now.since(last));
        self.last_tick = Some(now);
        if gap < self.options.pause {
            return;
        }
        self.probes.clear();
        for deadline in self.suspects.values_mut() {
            *deadline = *deadline + gap;
        }
    }
}
