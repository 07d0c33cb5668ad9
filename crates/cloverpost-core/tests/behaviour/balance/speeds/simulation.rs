//! VMs before upstreams of different speeds, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt;
use std::sync::Arc;

use cloverpost_core::balance::{Aggregator, Balancer, Criteria, Digest, Event, Options, Speed};
use cloverpost_core::{directory, id, time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::engine::{Engine, SLOTS, Work};

/// Availability zones, each with the same number of VMs and upstreams.
const ZONES: [&str; 3] = ["a", "b", "c"];
const VMS: usize = 27;
const UPSTREAMS: usize = 90;
/// Speeds of the upstreams, in turn.
const SPEEDS: [f64; 3] = [1.0, 1.0, 1.3];
/// Requests per second of one VM.
const RATE: f64 = 12.0;
/// Interval between load reports, as in the gateway.
const TICK_SECONDS: f64 = 0.125;
/// Duration of a slow interval.
const SLOW_SECONDS: f64 = 0.6;
/// Mean time between slow intervals of an upstream.
const SLOW_GAP_SECONDS: f64 = 6.0;
/// Time before requests are counted.
const WARM_UP_US: u64 = 15_000_000;

/// A rule for choosing upstreams.
#[derive(Clone, Copy, Debug)]
pub enum Rule {
    /// Latencies measured by the VM itself, without regard to work and load.
    Latency,
    /// Learnt speeds.
    Speed,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub rule: Rule,
    pub seed: u64,
    /// Part of the usual rate of requests.
    pub load: f64,
    pub seconds: u64,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Requests of the upstream with the most, relative to the mean.
    pub busiest: f64,
    /// The same, with requests divided by the upstream's speed.
    pub busiest_by_speed: f64,
    /// Requests per upstream of each of [`SPEEDS`], relative to the mean.
    pub shares: [f64; 3],
    /// Seconds to first byte: mean, 95th and 99th percentile.
    pub first_byte: [f64; 3],
    /// Mean learnt speed of the upstreams of each of [`SPEEDS`] at the end, if learnt.
    pub learnt: [f64; 3],
    /// Largest number of rows in a total.
    pub rows: usize,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "busiest {:.3}, by speed {:.3}, shares {:.3?}, first byte {:.3?}, learnt {:.3?}, rows {}",
            self.busiest,
            self.busiest_by_speed,
            self.shares,
            self.first_byte,
            self.learnt,
            self.rows
        )
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrival { vm: usize },
    Head { request: usize },
    End { request: usize },
    Slow { upstream: usize, is_slow: bool },
    Tick,
}

struct Request {
    vm: usize,
    upstream: usize,
    work: Work,
    sent_us: u64,
    prefill: f64,
    expected: Option<f64>,
    was_idle: bool,
}

struct Vm {
    zone: id::AvailabilityZone,
    balancer: Balancer,
    speed: Speed,
    reported: Digest,
}

struct Zone {
    aggregator: Aggregator,
    /// Total that is on its way to the VMs.
    total: Option<Digest>,
}

struct Simulation {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now_us: u64,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    scheduled: u64,
    vms: Vec<Vm>,
    zones: Vec<Zone>,
    upstreams: Vec<Arc<directory::Upstream>>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    counts: Vec<u32>,
    first_bytes: Vec<f64>,
    rows: usize,
}

/// Plays `scenario`.
pub fn run(scenario: Scenario) -> Outcome {
    let mut simulation = Simulation::new(scenario);
    let end_us = scenario.seconds * 1_000_000;
    while let Some(Reverse((at_us, _, step))) = simulation.steps.pop() {
        if at_us > end_us {
            break;
        }
        simulation.now_us = at_us;
        simulation.play(step);
    }
    simulation.outcome()
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let options = Options {
            learn_speed: matches!(scenario.rule, Rule::Speed),
            ..Options::default()
        };
        let vm = |number: usize| Vm {
            zone: ZONES[number % ZONES.len()].parse().unwrap(),
            balancer: Balancer::new(options),
            speed: Speed::default(),
            reported: Digest::default(),
        };
        let zone = |_| Zone {
            aggregator: Aggregator::default(),
            total: None,
        };
        let mut simulation = Self {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            now_us: 0,
            steps: BinaryHeap::new(),
            scheduled: 0,
            vms: (0..VMS).map(vm).collect(),
            zones: ZONES.iter().map(zone).collect(),
            upstreams: (0..UPSTREAMS).map(upstream).collect(),
            engines: (0..UPSTREAMS)
                .map(|number| Engine::new(speed_of(number)))
                .collect(),
            requests: Vec::new(),
            counts: vec![0; UPSTREAMS],
            first_bytes: Vec::new(),
            rows: 0,
        };
        for vm in 0..VMS {
            simulation.schedule_arrival(vm);
        }
        for upstream in 0..UPSTREAMS {
            simulation.schedule_slow(upstream);
        }
        simulation.schedule(0.0, Step::Tick);
        simulation
    }

    fn schedule(&mut self, seconds: f64, step: Step) {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // some seconds
        let at_us = self.now_us + (seconds * 1e6) as u64;
        self.scheduled += 1;
        self.steps.push(Reverse((at_us, self.scheduled, step)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn schedule_arrival(&mut self, vm: usize) {
        let wait = self.exponential(1.0 / (RATE * self.scenario.load));
        self.schedule(wait, Step::Arrival { vm });
    }

    fn schedule_slow(&mut self, upstream: usize) {
        let wait = self.exponential(SLOW_GAP_SECONDS);
        let is_slow = true;
        self.schedule(wait, Step::Slow { upstream, is_slow });
    }

    fn now(&self) -> time::Moment {
        time::Moment::from_millis(1_000 + self.now_us / 1_000)
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Arrival { vm } => {
                self.schedule_arrival(vm);
                self.send(vm);
            }
            Step::Head { request } => self.begin_response(request),
            Step::End { request } => self.end(request),
            Step::Slow { upstream, is_slow } => {
                self.engines[upstream].is_slow = is_slow;
                if is_slow {
                    let is_slow = false;
                    self.schedule(SLOW_SECONDS, Step::Slow { upstream, is_slow });
                } else {
                    self.schedule_slow(upstream);
                }
            }
            Step::Tick => {
                self.schedule(TICK_SECONDS, Step::Tick);
                self.share_loads();
            }
        }
    }

    /// One prompt in eight is long.
    fn draw_work(&mut self) -> Work {
        let is_long = self.rng.random_range(0..8) == 0;
        let prompt = if is_long { 8_000..40_000 } else { 200..4_000 };
        Work {
            prompt: self.rng.random_range(prompt),
            answer: self.rng.random_range(100..700),
        }
    }

    fn send(&mut self, number: usize) {
        let now = self.now();
        let work = self.draw_work();
        let vm = &mut self.vms[number];
        let prefill = vm.speed.prefill_seconds(None, work.prompt);
        let criteria = Criteria {
            zone: &vm.zone,
            affinity: None,
            work: prefill,
            shared: 0.0,
            tried: &[],
            draw: self.rng.random(),
        };
        let chosen = vm.balancer.choose(self.upstreams.iter(), &criteria, now);
        let chosen = chosen.unwrap();
        let upstream = self.upstreams.iter().position(|one| one.id == chosen.id);
        let upstream = upstream.unwrap();
        let expected = vm.balancer.expected_seconds(chosen, prefill, now);
        let was_idle = vm.balancer.start(&chosen.id, prefill);
        let request = self.requests.len();
        self.requests.push(Request {
            vm: number,
            upstream,
            work,
            sent_us: self.now_us,
            prefill,
            expected,
            was_idle,
        });
        if self.now_us >= WARM_UP_US {
            self.counts[upstream] += 1;
        }
        if self.engines[upstream].push(request) {
            self.begin_prompt(request);
        }
    }

    fn begin_prompt(&mut self, request: usize) {
        let Request { upstream, work, .. } = self.requests[request];
        let seconds = self.engines[upstream].prefill_seconds(work);
        self.schedule(seconds, Step::Head { request });
    }

    fn begin_response(&mut self, number: usize) {
        let now = self.now();
        let request = &self.requests[number];
        let (upstream, work) = (request.upstream, request.work);
        #[allow(clippy::cast_precision_loss)] // some minutes
        let took = (self.now_us - request.sent_us) as f64 / 1e6;
        if request.sent_us >= WARM_UP_US {
            self.first_bytes.push(took);
        }
        let vm = &mut self.vms[request.vm];
        let id = &self.upstreams[upstream].id;
        vm.balancer.response_started(id, request.prefill);
        let began = Event::Began(std::time::Duration::from_secs_f64(took));
        vm.balancer.record(id, began, now);
        if let Some(expected) = request.expected {
            vm.balancer.record_speed(id, took, expected, now);
        }
        if request.was_idle {
            vm.speed.record_prefill(None, work.prompt, took);
        }
        let seconds = self.engines[upstream].decode_seconds(work);
        self.schedule(seconds, Step::End { request: number });
        if let Some(next) = self.engines[upstream].pop() {
            self.begin_prompt(next);
        }
    }

    fn end(&mut self, number: usize) {
        let request = &self.requests[number];
        let id = &self.upstreams[request.upstream].id;
        self.vms[request.vm].balancer.request_ended(id);
        self.engines[request.upstream].end();
    }

    /// Totals reach the VMs one interval after the reports that they contain.
    fn share_loads(&mut self) {
        let now = self.now();
        for (index, zone) in self.zones.iter_mut().enumerate() {
            let total = zone.total.take();
            let mut vms = self.vms.iter_mut().skip(index).step_by(ZONES.len());
            let aggregating = vms.next().unwrap();
            for (number, vm) in vms.enumerate() {
                if let Some(total) = &total {
                    vm.balancer.set_peer_loads(total, &vm.reported, now);
                }
                vm.reported = vm.balancer.digest(now);
                let name = format!("vm-{number}").parse().unwrap();
                zone.aggregator.insert(name, vm.reported.clone(), now);
            }
            let own = aggregating.balancer.digest(now);
            let total = zone.aggregator.total(&own);
            aggregating.balancer.set_peer_loads(&total, &own, now);
            self.rows = self.rows.max(total.rows.len());
            zone.total = Some(total);
        }
    }

    fn outcome(mut self) -> Outcome {
        let by_speed = |(number, count): (usize, &u32)| f64::from(*count) / speed_of(number);
        let by_speed: Vec<_> = self.counts.iter().enumerate().map(by_speed).collect();
        let counts: Vec<_> = self.counts.iter().map(|count| f64::from(*count)).collect();
        let now = self.now();
        let learnt = learnt_speeds(&self.vms, &self.upstreams, now);
        self.first_bytes.sort_by(f64::total_cmp);
        let percentile = |part: usize| self.first_bytes[self.first_bytes.len() * part / 100];
        Outcome {
            busiest: busiest(&counts),
            busiest_by_speed: busiest(&by_speed),
            shares: by_kind(&counts).map(|share| share / mean(&counts)),
            first_byte: [mean(&self.first_bytes), percentile(95), percentile(99)],
            learnt,
            rows: self.rows,
        }
    }
}

/// Mean learnt speed of each kind of upstream, as seen by the VMs of its zone.
fn learnt_speeds(
    vms: &[Vm],
    upstreams: &[Arc<directory::Upstream>],
    now: time::Moment,
) -> [f64; 3] {
    let pool: Vec<_> = upstreams.iter().collect();
    let mut speeds = vec![1.0; upstreams.len()];
    for vm in &vms[..ZONES.len()] {
        let learnt = vm.balancer.speeds(&pool, now);
        for (number, (_, speed)) in learnt.into_iter().enumerate() {
            if upstreams[number].zone == vm.zone {
                speeds[number] = speed;
            }
        }
    }
    by_kind(&speeds)
}

fn speed_of(number: usize) -> f64 {
    SPEEDS[number / ZONES.len() % SPEEDS.len()]
}

/// Mean of the values of the upstreams of each of [`SPEEDS`].
fn by_kind(values: &[f64]) -> [f64; 3] {
    std::array::from_fn(|kind| {
        let of_kind = values.iter().enumerate();
        let of_kind = of_kind.filter(|(number, _)| number / ZONES.len() % SPEEDS.len() == kind);
        mean(&of_kind.map(|(_, value)| *value).collect::<Vec<_>>())
    })
}

#[allow(clippy::cast_precision_loss)] // some thousands of values
fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn busiest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max) / mean(values)
}

fn upstream(number: usize) -> Arc<directory::Upstream> {
    Arc::new(directory::Upstream {
        id: format!("i-{number}").parse().unwrap(),
        service: "app".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: ZONES[number % ZONES.len()].parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: SLOTS,
        born_ms: None,
        cold: std::time::Duration::ZERO,
        is_leaving: false,
    })
}
