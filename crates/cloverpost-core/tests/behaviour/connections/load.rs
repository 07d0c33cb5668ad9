//! Load in virtual time: 70 VMs with skewed demand share one upstream that accepts 480 connections, and
//! half or a quarter as many while its own queue is long. 200 non-idempotent requests a second.

use std::collections::VecDeque;
use std::time::Duration;

use cloverpost_core::connections::{Bound, Decision, Demand, Queue, Register, Wait};
use cloverpost_core::directory::Fleet;
use cloverpost_core::{id, time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const VMS: u32 = 70;
const MAX_CONNECTIONS: u32 = 480;
/// Requests in flight from which on the upstream accepts half of its connections.
const LONG_QUEUE: usize = 80;
const REQUESTS_PER_MS: f64 = 0.2;
const RUN_MS: u64 = 60_000;
const TIMEOUT_MS: u64 = 7_000;
const TICK_MS: u64 = 125;
const MAX_IDLE_MS: u64 = 2_000;
const MAX_IDLE_NON_IDEMPOTENT_MS: u64 = 300;
/// Attempts of a request that may not be repeated: two and three that were not sent.
const MAX_ATTEMPTS: u32 = 5;

#[derive(Clone, Copy)]
struct Request {
    arrived: u64,
    attempts: u32,
}

struct Running {
    vm: usize,
    ends: u64,
}

#[derive(Default)]
struct Vm {
    register: Register,
    queue: Queue<Request>,
    /// When each idle connection was returned, the oldest first.
    idle: VecDeque<u64>,
    in_flight: usize,
    /// Requests of the others by the last report.
    peers: usize,
}

#[derive(Default)]
struct Outcome {
    served: usize,
    lost: usize,
    resets: usize,
    max_open: usize,
    max_wait_ms: u64,
}

struct Simulation {
    now: u64,
    rng: ChaCha8Rng,
    upstream: id::Upstream,
    vms: Vec<Vm>,
    running: Vec<Running>,
    outcome: Outcome,
    is_bounded: bool,
    /// Part of its connections that the upstream accepts while its queue is long.
    long_queue_divisor: usize,
}

impl Simulation {
    fn new(seed: u64, is_bounded: bool, long_queue_divisor: usize) -> Self {
        Self {
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            upstream: "i-1".parse().unwrap(),
            vms: (0..VMS).map(|_| Vm::default()).collect(),
            running: Vec::new(),
            outcome: Outcome::default(),
            is_bounded,
            long_queue_divisor,
        }
    }

    fn run(mut self) -> Outcome {
        while self.now < RUN_MS {
            self.now += 1;
            self.end_requests();
            if self.now.is_multiple_of(TICK_MS) {
                self.tick();
            }
            if self.rng.random_bool(REQUESTS_PER_MS) {
                let vm = self.draw_vm();
                let request = Request {
                    arrived: self.now,
                    attempts: 0,
                };
                self.vms[vm].in_flight += 1;
                self.start(vm, request);
            }
            for vm in 0..self.vms.len() {
                self.grant(vm);
            }
            let open: usize = self.vms.iter().map(|vm| vm.register.total()).sum();
            self.outcome.max_open = self.outcome.max_open.max(open);
        }
        let waiting = self.vms.iter().flat_map(|vm| {
            let mut queue = vm.queue.clone();
            std::iter::from_fn(move || queue.pop()).collect::<Vec<_>>()
        });
        let late = waiting.filter(|one| self.now - one.arrived > TIMEOUT_MS / 2);
        self.outcome.lost += late.count();
        self.outcome
    }

    /// One VM in seven gets ten times as many requests as the others.
    fn draw_vm(&mut self) -> usize {
        let weight = |vm: usize| if vm.is_multiple_of(7) { 10 } else { 1 };
        let total: u32 = (0..self.vms.len()).map(weight).sum();
        let mut draw = self.rng.random_range(0..total);
        for vm in 0..self.vms.len() {
            match draw.checked_sub(weight(vm)) {
                Some(rest) => draw = rest,
                None => return vm,
            }
        }
        unreachable!("the draw is below the total");
    }

    fn moment(&self) -> time::Moment {
        time::Moment::from_millis(self.now)
    }

    fn set_bound(&mut self, vm: usize) {
        let vm = &mut self.vms[vm];
        let demand = Demand {
            own: vm.in_flight,
            peers: Some(vm.peers),
            reporters: VMS,
        };
        let maximum = if self.is_bounded { MAX_CONNECTIONS } else { 0 };
        let bound = Bound::new(maximum, Fleet::new(VMS), &demand);
        vm.register.set_bound(&self.upstream, bound);
    }

    /// Number of connections that the upstream accepts now.
    fn accepted(&self) -> usize {
        let maximum = usize::try_from(MAX_CONNECTIONS).unwrap();
        if self.running.len() > LONG_QUEUE {
            maximum / self.long_queue_divisor
        } else {
            maximum
        }
    }

    fn start(&mut self, index: usize, request: Request) {
        self.set_bound(index);
        let now = self.moment();
        let vm = &mut self.vms[index];
        let is_fresh = |since: &u64| self.now - since < MAX_IDLE_NON_IDEMPOTENT_MS;
        if vm.idle.back().is_some_and(is_fresh) {
            vm.idle.pop_back();
            self.serve(index, request);
            return;
        }
        match vm.register.decide(&self.upstream, vm.idle.len(), now) {
            Decision::Open => self.open(index, request),
            decision => {
                if decision == Decision::CloseIdle {
                    vm.idle.pop_front();
                    vm.register.record_closed(&self.upstream);
                }
                vm.queue.push(1, request);
            }
        }
    }

    /// Opens a connection, which is reset if the upstream has too many. The request is not written
    /// before that is known.
    fn open(&mut self, index: usize, mut request: Request) {
        let now = self.moment();
        let open: usize = self.vms.iter().map(|vm| vm.register.total()).sum();
        let is_reset = open >= self.accepted();
        let vm = &mut self.vms[index];
        vm.register.record_open(&self.upstream);
        if !is_reset {
            self.serve(index, request);
            return;
        }
        self.outcome.resets += 1;
        vm.register.record_closed(&self.upstream);
        vm.register.record_reset(&self.upstream, now, now);
        request.attempts += 1;
        if request.attempts < MAX_ATTEMPTS {
            vm.queue.push(1, request);
        } else {
            vm.in_flight -= 1;
            self.outcome.lost += 1;
        }
    }

    fn serve(&mut self, vm: usize, request: Request) {
        let waited = self.now - request.arrived;
        self.outcome.max_wait_ms = self.outcome.max_wait_ms.max(waited);
        let lasts = self.rng.random_range(100..600);
        self.running.push(Running {
            vm,
            ends: self.now + lasts,
        });
    }

    fn end_requests(&mut self) {
        let now = self.now;
        let (ended, running) = { self.running.drain(..) }.partition(|one| one.ends <= now);
        self.running = running;
        let ended: Vec<Running> = ended;
        for one in ended {
            self.outcome.served += 1;
            self.vms[one.vm].in_flight -= 1;
            match self.vms[one.vm].queue.pop() {
                Some(request) => self.serve(one.vm, request),
                None => self.vms[one.vm].idle.push_back(now),
            }
        }
    }

    /// Opens connections for waiting requests while the limit allows it.
    fn grant(&mut self, index: usize) {
        let now = self.moment();
        while !self.vms[index].queue.is_empty()
            && self.vms[index].register.has_capacity(&self.upstream, now)
        {
            let request = self.vms[index].queue.pop().unwrap();
            let wait = Wait::new(Duration::from_millis(TIMEOUT_MS)).alone;
            if Duration::from_millis(self.now - request.arrived) > wait {
                self.vms[index].in_flight -= 1;
                self.outcome.lost += 1;
            } else {
                self.open(index, request);
            }
        }
    }

    /// Reports loads, and closes idle connections.
    fn tick(&mut self) {
        let total: usize = self.vms.iter().map(|vm| vm.in_flight).sum();
        let now = self.moment();
        for index in 0..self.vms.len() {
            self.vms[index].peers = total - self.vms[index].in_flight;
            self.set_bound(index);
            let vm = &mut self.vms[index];
            let max_idle = if vm.register.is_scarce(&self.upstream, now) {
                MAX_IDLE_NON_IDEMPOTENT_MS
            } else {
                MAX_IDLE_MS
            };
            let is_old = |since: &u64| self.now - since >= max_idle;
            while vm.idle.front().is_some_and(is_old) {
                vm.idle.pop_front();
                vm.register.record_closed(&self.upstream);
            }
            vm.register.take_restored(now);
        }
    }
}

// Guards against resets of connections, by the number of idle ones, that cost requests.
#[rstest]
fn no_request_is_lost_to_a_reset_with_one_upstream_for_all(
    #[values(1, 2, 3, 4, 5)] seed: u64,
    #[values(2, 4)] divisor: usize,
) {
    let outcome = Simulation::new(seed, true, divisor).run();
    println!(
        "seed {seed}, divisor {divisor}: served {}, lost {}, resets {}, open at most {}, waited at most {} ms",
        outcome.served, outcome.lost, outcome.resets, outcome.max_open, outcome.max_wait_ms
    );
    assert!(outcome.served > 11_000, "{}", outcome.served);
    assert_eq!(outcome.lost, 0);
    assert!(outcome.max_open <= 480, "{}", outcome.max_open);
    let unbounded = Simulation::new(seed, false, divisor).run();
    println!(
        "unbounded: lost {}, resets {}",
        unbounded.lost, unbounded.resets
    );
    assert!(outcome.resets * 2 < unbounded.resets);
}
