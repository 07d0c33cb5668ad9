//! All VMs start while the store is unavailable for some seconds: a simulation in virtual time.
//!
//! 70 VMs, each with 12 requests per second, of which a third each have 2 s, 8 s and 25 s. A caller
//! sends a refused request once more, to another VM, after the stated delay or a third of its remaining
//! time, whichever is less.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use cloverpost_core::startup::{
    Admission, Capacity, Outcome, Queue, Reason, Request, Ticket, retry_after,
};
use cloverpost_core::time;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use super::at;

const VMS: usize = 70;
/// Requests that each VM receives per second.
const RATE: u64 = 12;
/// When the store answers again.
const OUTAGE_MS: u64 = 6_000;
/// Time in which the VMs receive the configuration after that.
const SPREAD_MS: u64 = 600;
/// Time that a request needs at its upstream.
const SERVICE_TIME: Duration = Duration::from_millis(500);
const TIMEOUTS_MS: [u64; 3] = [2_000, 8_000, 25_000];
/// Memory of the VMs in MB, and the part of it that waiting requests may take, in bytes.
const MEMORY_MB: u32 = 88;
const MAX_BYTES: u64 = 11_000_000;

/// How a VM without a configuration treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// Refuses them once its process is 500 ms old.
    Refuse,
    /// Lets them wait in a queue.
    Queue,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { request: usize },
    WaitEnd { vm: usize, ticket: Ticket },
    Configuration { vm: usize },
    Release { vm: usize, ticket: Ticket },
}

#[derive(Clone, Copy, Debug)]
struct Call {
    timeout_ms: u64,
    deadline: time::Moment,
    is_repeatable: bool,
    body_bytes: u64,
    tries: u32,
    is_served: bool,
}

struct Vm {
    queue: Queue,
    is_routable: bool,
    waiting: BTreeMap<Ticket, usize>,
}

/// A run of all VMs.
struct Run {
    rule: Rule,
    random: StdRng,
    vms: Vec<Vm>,
    calls: Vec<Call>,
    events: BinaryHeap<Reverse<(time::Moment, usize, Event)>>,
    number: usize,
    /// Largest estimated memory of the requests that waited at a VM.
    max_bytes: u64,
    /// Times of the second tries.
    retries: Vec<time::Moment>,
    /// Releases by VM, with the deadlines.
    releases: Vec<(usize, time::Moment, time::Moment)>,
    configured: Vec<time::Moment>,
}

impl Run {
    fn new(rule: Rule, seed: u64) -> Self {
        let vm = |_| Vm {
            queue: Queue::new(Capacity::of_memory(MEMORY_MB)),
            is_routable: false,
            waiting: BTreeMap::new(),
        };
        Self {
            rule,
            random: StdRng::seed_from_u64(seed),
            vms: (0..VMS).map(vm).collect(),
            calls: Vec::new(),
            events: BinaryHeap::new(),
            number: 0,
            max_bytes: 0,
            retries: Vec::new(),
            releases: Vec::new(),
            configured: Vec::new(),
        }
    }

    fn schedule(&mut self, at: time::Moment, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    /// Runs until all requests are served or lost.
    fn play(mut self) -> Self {
        for vm in 0..VMS {
            let arrives = at(OUTAGE_MS + self.random.random_range(0..SPREAD_MS));
            self.configured.push(arrives);
            self.schedule(arrives, Event::Configuration { vm });
        }
        let count = VMS as u64 * RATE * OUTAGE_MS / 1_000;
        for request in 0..usize::try_from(count).unwrap() {
            let arrives = self.random.random_range(0..OUTAGE_MS);
            let timeout_ms = TIMEOUTS_MS[self.random.random_range(0..TIMEOUTS_MS.len())];
            self.calls.push(Call {
                timeout_ms,
                deadline: at(arrives + timeout_ms),
                is_repeatable: self.random.random_bool(0.5),
                body_bytes: self.random.random_range(0..32_768),
                tries: 0,
                is_served: false,
            });
            self.schedule(at(arrives), Event::Arrival { request });
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.handle(event, now);
        }
        self
    }

    fn handle(&mut self, event: Event, now: time::Moment) {
        match event {
            Event::Arrival { request } => self.arrive(request, now),
            Event::WaitEnd { vm, ticket } => {
                if let Some(request) = self.vms[vm].waiting.remove(&ticket) {
                    let outcome = Outcome::Refused(Reason::Expired);
                    self.vms[vm].queue.end(ticket, outcome, now);
                    self.refuse(request, now);
                }
            }
            Event::Configuration { vm } => {
                self.vms[vm].is_routable = true;
                self.vms[vm].queue.open(now);
                let tickets: Vec<_> = self.vms[vm].waiting.keys().copied().collect();
                for ticket in tickets {
                    let release = self.vms[vm].queue.release_time(ticket).unwrap();
                    self.schedule(release, Event::Release { vm, ticket });
                }
            }
            Event::Release { vm, ticket } => {
                if let Some(request) = self.vms[vm].waiting.remove(&ticket) {
                    self.vms[vm].queue.end(ticket, Outcome::Released, now);
                    self.releases.push((vm, now, self.calls[request].deadline));
                    self.serve(request, now);
                }
            }
        }
    }

    fn arrive(&mut self, request: usize, now: time::Moment) {
        self.calls[request].tries += 1;
        let call = self.calls[request];
        let vm = self.random.random_range(0..VMS);
        if self.vms[vm].is_routable {
            return self.serve(request, now);
        }
        if self.rule == Rule::Refuse {
            return self.refuse(request, now.max(at(500)));
        }
        let waiting = Request {
            timeout: Some(call.deadline.since(now)),
            is_repeatable: call.is_repeatable,
            body_bytes: Some(call.body_bytes),
        };
        match self.vms[vm].queue.admit(&waiting, now) {
            Admission::Refuse(_) => self.refuse(request, now),
            Admission::Wait {
                ticket,
                until,
                displaced,
            } => {
                self.vms[vm].waiting.insert(ticket, request);
                self.max_bytes = self.max_bytes.max(self.vms[vm].queue.bytes());
                self.schedule(until, Event::WaitEnd { vm, ticket });
                for ticket in displaced {
                    let request = self.vms[vm].waiting.remove(&ticket).unwrap();
                    self.refuse(request, now);
                }
            }
        }
    }

    fn serve(&mut self, request: usize, now: time::Moment) {
        let call = &mut self.calls[request];
        call.is_served = now + SERVICE_TIME <= call.deadline;
    }

    fn refuse(&mut self, request: usize, now: time::Moment) {
        let call = self.calls[request];
        if call.tries > 1 {
            return;
        }
        let left = call.deadline.since(now);
        let stated = match self.rule {
            Rule::Refuse => retry_after(None, self.random.random()),
            Rule::Queue => retry_after(Some(left), self.random.random()),
        };
        let returns = now + stated.min(left / 3);
        self.retries.push(returns);
        self.schedule(returns, Event::Arrival { request });
    }

    /// Number of requests with a timeout of `timeout_ms`, and how many of them were lost.
    fn lost(&self, timeout_ms: u64) -> (usize, usize) {
        let calls = self.calls.iter();
        let calls: Vec<_> = calls.filter(|one| one.timeout_ms == timeout_ms).collect();
        (
            calls.len(),
            calls.iter().filter(|one| !one.is_served).count(),
        )
    }
}

// Guards against refusing requests that have time to wait until the configuration arrives, and against
// memory that grows with the requests that wait for it.
#[rstest]
fn long_requests_survive_an_outage_of_the_store(#[values(1, 2, 3)] seed: u64) {
    let refusing = Run::new(Rule::Refuse, seed).play();
    let queueing = Run::new(Rule::Queue, seed).play();
    for timeout_ms in TIMEOUTS_MS {
        let (count, before) = refusing.lost(timeout_ms);
        let (_, now) = queueing.lost(timeout_ms);
        println!("seed {seed}, {timeout_ms} ms: {count} requests, lost {before} before, {now} now");
        assert!(now < before);
    }
    let (count, before) = refusing.lost(25_000);
    assert!(before * 4 > count * 3, "{before} of {count} lost before");
    assert_eq!(queueing.lost(25_000).1, 0);
    assert!(queueing.max_bytes <= MAX_BYTES, "{}", queueing.max_bytes);
}

// Guards against a burst of released requests, and against their release in an order in which those
// with little time are served too late.
#[test]
fn waiting_requests_are_released_in_order_within_250_ms() {
    let run = Run::new(Rule::Queue, 7).play();
    assert!(!run.releases.is_empty());
    for vm in 0..VMS {
        let releases = run.releases.iter().filter(|(other, ..)| *other == vm);
        let releases: Vec<_> = releases.map(|(_, at, deadline)| (*at, *deadline)).collect();
        let end = run.configured[vm] + Duration::from_millis(250);
        assert!(releases.iter().all(|(at, _)| *at <= end));
        for pair in releases.windows(2) {
            let is_ordered = pair[0].0 == pair[1].0 || pair[0].1 <= pair[1].1;
            assert!(is_ordered, "{pair:?}");
        }
    }
}

// Guards against refused callers of all VMs that return in one moment.
#[test]
fn retries_are_spread() {
    let run = Run::new(Rule::Queue, 11).play();
    let mut bins = BTreeMap::<u128, usize>::new();
    for retry in &run.retries {
        *bins
            .entry(retry.since_start().as_millis() / 100)
            .or_default() += 1;
    }
    let max = bins.values().copied().max().unwrap();
    println!("{} retries, at most {max} in 100 ms", run.retries.len());
    assert!(max * 10 < run.retries.len(), "{max}");
}
