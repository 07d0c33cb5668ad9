//! Simulation of requests, gossip and membership changes.

use std::rc::Rc;
use std::time::Duration;

use cloverpost_core::{evidence, id, limit, time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::policy::Policy;
use crate::policy::event_queue::EventQueue;
use crate::policy::flood::tally::Tally;
use crate::policy::flood::vm::{LocalLimit, Vm};

/// Limits of the large and the small organisation, in requests per second.
const LIMITS: [u32; 2] = [500, 100];

/// Demand of the large and the small organisation, in requests per second.
const DEMAND: [f64; 2] = [2_500.0, 30.0];

/// When the flood of the large organisation ends.
const FLOOD_END: Duration = Duration::from_secs(100);

/// Demand of the large organisation after the flood, in requests per second.
const DEMAND_AFTER_FLOOD: f64 = 600.0;

/// Index of the large organisation.
const LARGE: usize = 0;

/// Duration of a run in seconds.
const DURATION_SECS: usize = 180;

/// Seconds at the start that the utilisation and the small organisation's counts exclude.
const WARM_UP: usize = 15;

/// Seconds in which shares have converged and the membership does not change.
const SETTLED: std::ops::Range<usize> = 15..60;

/// When a VM fails.
const FAILURE_TIME: Duration = Duration::from_mins(1);

/// When a new VM joins.
const JOIN_TIME: Duration = Duration::from_mins(2);

/// Delay range in seconds until a VM learns of a membership change.
const MEMBERSHIP_DELAY_SECS: (f64, f64) = (0.5, 3.0);

/// Delay range of a gossiped row in seconds.
const GOSSIP_DELAY_SECS: (f64, f64) = (0.1, 1.5);

/// Fraction of gossiped rows that are lost.
const GOSSIP_LOSS: f64 = 0.1;

/// Interval in seconds at which the large organisation's demand shifts to other VMs.
const SHIFT_INTERVAL_SECS: u64 = 20;

/// Interval between gossip rounds of a VM.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Parameters of one run.
#[derive(Clone, Copy)]
pub(super) struct Setup {
    vms: usize,
}

impl Setup {
    pub(super) const fn new(vms: usize) -> Self {
        Self { vms }
    }
}

enum Event {
    Arrive {
        organisation: usize,
    },
    Tick {
        vm: usize,
    },
    Row {
        to: usize,
        from: usize,
        organisation: usize,
        row: Rc<limit::Row>,
    },
    Fail,
    Join,
    UpdateMembers {
        vm: usize,
    },
}

/// The state of one run.
pub(super) struct Simulation {
    policy: Policy,
    events: EventQueue<Event>,
    rng: ChaCha8Rng,
    vms: Vec<Vm>,
    tally: Tally,
}

impl Simulation {
    pub(super) fn new(setup: Setup, policy: Policy, seed: u64) -> Self {
        let start = time::Moment::default();
        let mut events = EventQueue::new();
        for organisation in 0..LIMITS.len() {
            events.schedule(start, Event::Arrive { organisation });
        }
        for vm in 0..setup.vms {
            events.schedule(start, Event::Tick { vm });
        }
        events.schedule(start + FAILURE_TIME, Event::Fail);
        events.schedule(start + JOIN_TIME, Event::Join);
        let members: Vec<_> = (0..setup.vms).map(member).collect();
        let vms = members
            .iter()
            .map(|own| new_vm(own, &members, policy, start));
        Self {
            policy,
            events,
            rng: ChaCha8Rng::seed_from_u64(seed),
            vms: vms.collect(),
            tally: Tally::new(f64::from(LIMITS[LARGE]), DURATION_SECS, WARM_UP, SETTLED),
        }
    }

    pub(super) fn run(mut self) -> Tally {
        while let Some((now, event)) = self.events.pop() {
            if second(now) >= DURATION_SECS {
                break;
            }
            self.handle(event, now);
        }
        self.tally
    }

    fn handle(&mut self, event: Event, now: time::Moment) {
        match event {
            Event::Arrive { organisation } => self.arrive(organisation, now),
            Event::Tick { vm } => self.tick(vm, now),
            Event::Row {
                to,
                from,
                organisation,
                row,
            } => {
                let sender = member(from);
                let limit = &mut self.vms[to].limits[organisation];
                limit.split.merge(&sender, &row, now);
            }
            Event::Fail => {
                self.vms[0].alive = false;
                self.schedule_member_updates(now);
            }
            Event::Join => self.join(now),
            Event::UpdateMembers { vm } => self.update_members(vm, now),
        }
    }

    fn arrive(&mut self, organisation: usize, now: time::Moment) {
        let uniform: f64 = self.rng.random();
        let rate = if organisation == LARGE && now.since_start() >= FLOOD_END {
            DEMAND_AFTER_FLOOD
        } else {
            DEMAND[organisation]
        };
        let gap = -(1.0 - uniform).ln() / rate;
        let next = now + Duration::from_secs_f64(gap);
        self.events.schedule(next, Event::Arrive { organisation });
        let vm = if organisation == LARGE {
            self.draw_skewed_vm(now)
        } else {
            self.rng.random_range(0..self.vms.len())
        };
        if !self.vms[vm].alive {
            return;
        }
        let admitted = self.vms[vm].limits[organisation].admit(now);
        if organisation == LARGE {
            self.tally.record_large(second(now), admitted);
        } else {
            self.tally.record_small(second(now), admitted);
        }
    }

    /// Draws a VM from a skewed distribution, so that a few VMs get most of the demand.
    fn draw_skewed_vm(&mut self, now: time::Moment) -> usize {
        let uniform: f64 = self.rng.random();
        let count = self.vms.len();
        let width = f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // below `count`
        let rank = (uniform * uniform * uniform * width) as usize;
        let shifts =
            usize::try_from(now.since_start().as_secs() / SHIFT_INTERVAL_SECS).unwrap_or(0);
        (rank + 1 + shifts * (count / 3)) % count
    }

    fn tick(&mut self, vm: usize, now: time::Moment) {
        if !self.vms[vm].alive {
            return;
        }
        self.events
            .schedule(now + TICK_INTERVAL, Event::Tick { vm });
        for organisation in 0..LIMITS.len() {
            self.vms[vm].limits[organisation].balance(now);
            let row = Rc::new(self.vms[vm].limits[organisation].split.row().clone());
            for to in 0..self.vms.len() {
                self.send(vm, to, organisation, &row, now);
            }
        }
    }

    fn send(
        &mut self,
        from: usize,
        to: usize,
        organisation: usize,
        row: &Rc<limit::Row>,
        now: time::Moment,
    ) {
        if self.rng.random_bool(GOSSIP_LOSS) || !self.vms[to].alive {
            return;
        }
        let delay = Duration::from_secs_f64(
            self.rng
                .random_range(GOSSIP_DELAY_SECS.0..GOSSIP_DELAY_SECS.1),
        );
        let event = Event::Row {
            to,
            from,
            organisation,
            row: Rc::clone(row),
        };
        self.events.schedule(now + delay, event);
    }

    fn join(&mut self, now: time::Moment) {
        let index = self.vms.len();
        let own = member(index);
        let mut members = self.live_members();
        members.push(own.clone());
        self.vms.push(new_vm(&own, &members, self.policy, now));
        self.events.schedule(now, Event::Tick { vm: index });
        self.schedule_member_updates(now);
    }

    fn live_members(&self) -> Vec<evidence::Source> {
        let alive = self.vms.iter().filter(|vm| vm.alive);
        alive.map(|vm| vm.member.clone()).collect()
    }

    fn schedule_member_updates(&mut self, now: time::Moment) {
        for vm in 0..self.vms.len() {
            let delay = Duration::from_secs_f64(
                self.rng
                    .random_range(MEMBERSHIP_DELAY_SECS.0..MEMBERSHIP_DELAY_SECS.1),
            );
            self.events
                .schedule(now + delay, Event::UpdateMembers { vm });
        }
    }

    fn update_members(&mut self, vm: usize, now: time::Moment) {
        let members = self.live_members();
        for limit in &mut self.vms[vm].limits {
            limit.split.set_members(&members, now);
            limit.update_rate(now);
        }
    }
}

fn second(now: time::Moment) -> usize {
    usize::try_from(now.since_start().as_secs()).unwrap_or(usize::MAX)
}

fn member(index: usize) -> evidence::Source {
    evidence::Source {
        vm: format!("vm-{index:03}").parse().expect("valid name"),
        process: id::Process::new(1),
    }
}

fn new_vm(
    own: &evidence::Source,
    members: &[evidence::Source],
    policy: Policy,
    now: time::Moment,
) -> Vm {
    let count = u64::try_from(members.len()).unwrap_or(u64::MAX);
    let limits = LIMITS.map(|requests| {
        let units = u64::from(requests) * limit::UNITS_PER_REQUEST;
        let options = limit::Options::default();
        let split = limit::Split::new(own.clone(), units, members, options, now);
        let fixed_rate = match policy {
            Policy::EqualShares => Some(units / count),
            Policy::PerVmLimit => Some(units),
            _ => None,
        };
        LocalLimit::new(split, fixed_rate)
    });
    Vm {
        member: own.clone(),
        alive: true,
        limits,
    }
}
