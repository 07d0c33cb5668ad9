//! Simulation of replicas whose weights are transferred one replica at a time.

use std::time::Duration;

use cloverpost_core::{capacity, time};

use crate::policy::Policy;
use crate::policy::autoscaling::demand::{Demand, STEPS};

/// Number of replicas in the pool.
const MAX_REPLICAS: u32 = 25;

/// Capacity of a replica, in requests per second.
const REPLICA_CAPACITY: f64 = 8.0;

/// Duration of a step.
const STEP: Duration = Duration::from_secs(10);

/// Time from the end of a weight transfer until the replica serves requests.
const START_TIME: Duration = Duration::from_mins(1);

/// Time to transfer the weights of one replica from the weight store.
const TRANSFER_TIME: Duration = Duration::from_secs(30);

/// Time awake that costs as much as one wake-up.
const BREAK_EVEN: Duration = Duration::from_mins(10);

/// Loads below which the reactive policy puts a replica to sleep and above which it wakes one.
const REACTIVE_LOAD: (f64, f64) = (0.5, 0.8);

/// Sums over the steps of one run.
#[derive(Default)]
pub(super) struct Tally {
    /// Sum of the replicas ready in each step.
    awake: f64,
    pub(super) wakes: u32,
    demand: f64,
    unserved: f64,
    pub(super) curve: Vec<(f64, f64)>,
}

impl Tally {
    /// Cost as a fraction of the cost of keeping all replicas awake.
    pub(super) fn cost_share(&self) -> f64 {
        let wake_cost = BREAK_EVEN.as_secs_f64() / STEP.as_secs_f64();
        let all_awake = f64::from(MAX_REPLICAS) * f64::from(STEPS);
        (self.awake + f64::from(self.wakes) * wake_cost) / all_awake
    }

    /// Fraction of the demand that exceeded the capacity of the replicas awake.
    pub(super) fn unserved_share(&self) -> f64 {
        self.unserved / self.demand
    }
}

/// The state of one run.
pub(super) struct Simulation {
    policy: Policy,
    demand: Demand,
    autoscaler: capacity::Autoscaler,
    ready: u32,
    /// When each waking replica will be ready, in ascending order.
    waking: Vec<time::Moment>,
    tally: Tally,
}

impl Simulation {
    pub(super) fn new(policy: Policy, seed: u64) -> Self {
        let autoscaler = capacity::Autoscaler::new(capacity::Options {
            replica_capacity: REPLICA_CAPACITY,
            utilisation: 0.9,
            min_replicas: 1,
            max_replicas: MAX_REPLICAS,
            start: START_TIME,
            transfer: TRANSFER_TIME,
            break_even: BREAK_EVEN,
            deviations: 2.0,
        });
        Self {
            policy,
            demand: Demand::new(seed),
            autoscaler,
            ready: MAX_REPLICAS,
            waking: Vec::new(),
            tally: Tally::default(),
        }
    }

    pub(super) fn run(mut self) -> Tally {
        for step in 0..STEPS {
            let now = time::Moment::default() + STEP * step;
            self.step(step, now);
        }
        self.tally
    }

    fn step(&mut self, step: u32, now: time::Moment) {
        let before = self.waking.len();
        self.waking.retain(|ready| *ready > now);
        let woken = before - self.waking.len();
        self.ready += u32::try_from(woken).unwrap_or(0);
        let demand = self.demand.at(step);
        let capacity = f64::from(self.ready) * REPLICA_CAPACITY;
        self.tally.demand += demand;
        self.tally.unserved += (demand - capacity).max(0.0);
        self.tally.awake += f64::from(self.ready);
        if step.is_multiple_of(30) {
            let minute = f64::from(step) * STEP.as_secs_f64() / 60.0;
            self.tally.curve.push((minute, f64::from(self.ready)));
        }
        let awake = self.ready + u32::try_from(self.waking.len()).unwrap_or(0);
        let target = self.target(demand, awake, now);
        self.scale(target, awake, now);
    }

    fn target(&mut self, demand: f64, awake: u32, now: time::Moment) -> u32 {
        let load = demand / (f64::from(awake) * REPLICA_CAPACITY);
        match self.policy {
            Policy::AlwaysAwake => MAX_REPLICAS,
            Policy::Reactive if load > REACTIVE_LOAD.1 => (awake + 1).min(MAX_REPLICAS),
            Policy::Reactive if load < REACTIVE_LOAD.0 => awake.saturating_sub(1).max(1),
            Policy::Reactive => awake,
            _ => self.autoscaler.target(demand, awake, now),
        }
    }

    /// Puts replicas to sleep immediately; wakes them one at a time, because they share the weight
    /// store.
    fn scale(&mut self, target: u32, awake: u32, now: time::Moment) {
        for _ in awake..target {
            // Transfers run one at a time; a replica is ready `START_TIME` after its own.
            let last = self.waking.last().copied();
            let previous_ready = last.map_or(now, |ready| ready.max(now + START_TIME));
            let ready = if last.is_some() {
                previous_ready + TRANSFER_TIME
            } else {
                now + START_TIME + TRANSFER_TIME
            };
            self.waking.push(ready);
            self.tally.wakes += 1;
        }
        for _ in target..awake {
            if self.waking.pop().is_none() {
                self.ready -= 1;
            }
        }
    }
}
