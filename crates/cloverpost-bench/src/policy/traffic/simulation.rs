//! Simulation of VMs and engines.

use cloverpost_core::time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::policy::Policy;
use crate::policy::event_queue::EventQueue;
use crate::policy::traffic::arrivals::Arrivals;
use crate::policy::traffic::engine::Engine;
use crate::policy::traffic::setup::Setup;
use crate::policy::traffic::tally::Tally;
use crate::policy::traffic::vm::{Action, Vm};

/// Separates the seed of the decisions from that of the requests.
const DECISION_SEED: u64 = 1 << 63;

#[derive(Clone, Copy)]
enum Event {
    Arrive,
    EndStep {
        engine: usize,
    },
    SampleLoad {
        engine: usize,
    },
    DeliverReport {
        engine: usize,
        load: u32,
        taken: time::Moment,
    },
}

/// The state of one run.
pub(super) struct Simulation {
    setup: Setup,
    events: EventQueue<Event>,
    arrivals: Arrivals,
    vms: Vec<Vm>,
    engines: Vec<Engine>,
    tally: Tally,
    rng: ChaCha8Rng,
}

impl Simulation {
    pub(super) fn new(setup: Setup, policy: Policy, seed: u64) -> Self {
        let mut events = EventQueue::new();
        let start = time::Moment::default();
        events.schedule(start, Event::Arrive);
        for engine in 0..setup.engines {
            events.schedule(start, Event::SampleLoad { engine });
        }
        Self {
            setup,
            events,
            arrivals: Arrivals::new(setup, seed),
            vms: (0..setup.vms)
                .map(|index| Vm::new(&setup, policy, index))
                .collect(),
            engines: (0..setup.engines).map(|_| Engine::default()).collect(),
            tally: Tally::new(&setup),
            rng: ChaCha8Rng::seed_from_u64(seed ^ DECISION_SEED),
        }
    }

    /// Simulates all arrivals and their answers.
    pub(super) fn run(mut self) -> Tally {
        while let Some((now, event)) = self.events.pop() {
            self.handle(event, now);
        }
        for engine in &self.engines {
            let (hits, misses) = engine.cache_counts();
            self.tally.record_cache(hits, misses);
        }
        self.tally
    }

    fn handle(&mut self, event: Event, now: time::Moment) {
        match event {
            Event::Arrive => self.arrive(now),
            Event::EndStep { engine } => self.end_step(engine, now),
            Event::SampleLoad { engine } => self.sample_load(engine, now),
            Event::DeliverReport {
                engine,
                load,
                taken,
            } => {
                for vm in &self.vms {
                    vm.record_report(engine, load, taken);
                }
            }
        }
    }

    fn accepts_arrivals(&self, now: time::Moment) -> bool {
        now.since_start() < self.setup.duration
    }

    fn arrive(&mut self, now: time::Moment) {
        if !self.accepts_arrivals(now) {
            return;
        }
        let request = self.arrivals.next(now);
        let next = now + self.arrivals.gap();
        self.events.schedule(next, Event::Arrive);
        self.tally.record_arrival(&request);
        let actions = self.vms[request.vm].offer(request, now, &mut self.rng);
        self.apply(actions, now);
    }

    fn end_step(&mut self, engine: usize, now: time::Moment) {
        let (answers, next) = self.engines[engine].end_step(now);
        if let Some(end) = next {
            self.events.schedule(end, Event::EndStep { engine });
        }
        for answer in answers {
            let request = answer.dispatch.request;
            let first_byte = answer.first_byte;
            self.tally.record_answer(&answer.dispatch, first_byte, now);
            let vm = &mut self.vms[request.vm];
            let actions = vm.finish(engine, &answer.dispatch, first_byte, now, &mut self.rng);
            self.apply(actions, now);
        }
    }

    fn sample_load(&mut self, engine: usize, now: time::Moment) {
        let deliver = Event::DeliverReport {
            engine,
            load: self.engines[engine].load(),
            taken: now,
        };
        self.events.schedule(now + self.setup.report_lag, deliver);
        if self.accepts_arrivals(now) {
            let next = now + self.setup.report_interval;
            self.events.schedule(next, Event::SampleLoad { engine });
        }
    }

    fn apply(&mut self, actions: Vec<Action>, now: time::Moment) {
        for action in actions {
            match action {
                Action::Refuse(request) => self.tally.record_refusal(&request),
                Action::Send(engine, dispatch) => {
                    let end = self.engines[engine].accept(dispatch, now);
                    if let Some(end) = end {
                        self.events.schedule(end, Event::EndStep { engine });
                    }
                }
            }
        }
    }
}
