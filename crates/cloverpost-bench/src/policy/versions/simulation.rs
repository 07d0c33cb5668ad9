//! Simulation of requests, answers and ratings.

use std::time::Duration;

use cloverpost_core::{evidence, id, overload, plan, time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::policy::Policy;
use crate::policy::event_queue::EventQueue;
use crate::policy::versions::classes::CLASSES;
use crate::policy::versions::tally::{Outcome, Tally};
use crate::policy::versions::version::Version;
use crate::policy::versions::workload::{Answer, ORGANISATIONS, Request, Workload};

/// Separates the seed of decisions and answers from that of the requests.
const DECISION_SEED: u64 = 1 << 63;

/// Interval between selections of plans.
const SELECTION_INTERVAL: Duration = Duration::from_secs(10);

/// Fraction of answers that are rated asynchronously.
const RATED_FRACTION: f64 = 0.1;

/// Fraction of the second answers of cascades that are rated asynchronously.
const SECOND_RATED_FRACTION: f64 = 0.3;

/// Fraction of asynchronous ratings that are lost.
const LOST_RATINGS: f64 = 0.2;

/// Delay range of an asynchronous rating in seconds.
const RATING_DELAY_SECS: (f64, f64) = (20.0, 120.0);

/// Duration range of a synchronous verdict in seconds.
const VERDICT_SECS: (f64, f64) = (0.2, 0.6);

/// Timeout of a synchronous verdict.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(2);

/// Cost of a rating in micro-units.
const RATING_COST: f64 = 10.0;

/// Parameters and faults of one run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Setup {
    pub(super) duration: Duration,
    /// Whether the difficulty of requests differs between organisations.
    pub(super) mixed_difficulty: bool,
    /// Start and end of an outage of the rating service.
    pub(super) outage: Option<(Duration, Duration)>,
}

impl Setup {
    pub(super) const fn new(duration: Duration) -> Self {
        Self {
            duration,
            mixed_difficulty: false,
            outage: None,
        }
    }
}

enum Event {
    Arrive,
    Select,
    Rating { key: evidence::Key, passed: bool },
}

/// The state of one run.
pub(super) struct Simulation {
    setup: Setup,
    policy: Policy,
    events: EventQueue<Event>,
    workload: Workload,
    rng: ChaCha8Rng,
    tally: Tally,
    estimates: plan::Estimates,
    rater: plan::Rater,
    estimators: Vec<Vec<overload::Estimator>>,
    selections: Vec<Vec<plan::Selection>>,
}

impl Simulation {
    pub(super) fn new(setup: Setup, policy: Policy, seed: u64) -> Self {
        let mut events = EventQueue::new();
        events.schedule(time::Moment::default(), Event::Select);
        events.schedule(time::Moment::default(), Event::Arrive);
        let estimators = CLASSES
            .iter()
            .map(|class| vec![overload::Estimator::default(); class.versions.len()]);
        Self {
            setup,
            policy,
            events,
            workload: Workload::new(seed, setup.mixed_difficulty),
            rng: ChaCha8Rng::seed_from_u64(seed ^ DECISION_SEED),
            tally: Tally::new(),
            estimates: plan::Estimates::default(),
            rater: plan::Rater::default(),
            estimators: estimators.collect(),
            selections: Vec::new(),
        }
    }

    pub(super) fn run(mut self) -> Tally {
        while let Some((now, event)) = self.events.pop() {
            if now.since_start() >= self.setup.duration {
                break;
            }
            match event {
                Event::Arrive => self.arrive(now),
                Event::Select => self.select(now),
                Event::Rating { key, passed } => {
                    self.estimates
                        .record(&key, evidence::Counts::single(passed));
                }
            }
        }
        self.tally
    }

    fn in_outage(&self, now: time::Moment) -> bool {
        let now = now.since_start();
        let within = |(from, to)| now >= from && now < to;
        self.setup.outage.is_some_and(within)
    }

    /// Selects a new plan for each class and organisation.
    fn select(&mut self, now: time::Moment) {
        self.events
            .schedule(now + SELECTION_INTERVAL, Event::Select);
        self.selections = (0..CLASSES.len())
            .map(|class| {
                let organisations = 0..ORGANISATIONS;
                organisations
                    .map(|organisation| self.selection(class, organisation))
                    .collect()
            })
            .collect();
    }

    fn selection(&self, class: usize, organisation: usize) -> plan::Selection {
        let goal = &CLASSES[class].goal;
        let versions = CLASSES[class].versions;
        let organisation = organisation_name(organisation);
        let estimators = &self.estimators[class];
        let candidate = |(version, estimator): (&Version, &overload::Estimator)| plan::Candidate {
            entry: entry_name(version),
            cost: version.cost,
            time: estimator.upper_bound(),
            estimate: self.estimates.estimate(
                &entry_name(version),
                &organisation,
                version.declared,
            ),
            ratings: self.estimates.ratings(&entry_name(version)),
            share: None,
        };
        let candidates: Vec<_> = versions.iter().zip(estimators).map(candidate).collect();
        let options = plan::Options {
            verdict_cost: RATING_COST,
            ..plan::Options::default()
        };
        let after = |entry: &plan::Candidate, failed: &plan::Candidate| {
            let declared = version(class, &entry.entry).declared;
            let (entry, failed) = (&entry.entry, &failed.entry);
            self.estimates
                .estimate_after_failure(entry, failed, &organisation, declared)
        };
        let plan = plan::select(&candidates, after, goal, &self.rater, &options)
            .expect("each class has versions");
        plan::Selection::new(plan, &candidates, goal, &self.rater, &options)
    }

    fn arrive(&mut self, now: time::Moment) {
        let request = self.workload.next();
        let next = now + self.workload.gap();
        self.events.schedule(next, Event::Arrive);
        let outage = self.in_outage(now);
        let outcome = match self.policy {
            Policy::AlwaysCheapest => {
                self.answer_with_fixed(&request, |left, right| left.cost < right.cost)
            }
            Policy::AlwaysBest => {
                self.answer_with_fixed(&request, |left, right| left.quality > right.quality)
            }
            _ => self.answer_by_plan(&request, now),
        };
        self.tally.record(&outcome, now.since_start(), outage);
    }

    /// Answers with the version that `preferred` ranks above all others of the class.
    fn answer_with_fixed(
        &mut self,
        request: &Request,
        preferred: fn(&Version, &Version) -> bool,
    ) -> Outcome {
        let versions = CLASSES[request.class].versions.iter();
        let chosen =
            versions.reduce(|best, other| if preferred(other, best) { other } else { best });
        let chosen = chosen.expect("each class has versions");
        let answer = self.workload.answer(request, chosen, &mut self.rng);
        outcome(request, &answer, answer.cost, answer.latency)
    }

    fn answer_by_plan(&mut self, request: &Request, now: time::Moment) -> Outcome {
        let selection = &self.selections[request.class][request.organisation];
        let attempt = selection.draw(&mut self.rng);
        let (first, second, trial) = (
            attempt.first.clone(),
            attempt.second.cloned(),
            attempt.trial,
        );
        let answer = self.call(request, &first);
        let Some(second) = second else {
            let fraction = if trial { 1.0 } else { RATED_FRACTION };
            let key = key(request, &first, None);
            let rating_cost = self.rate_async(key, &answer, fraction, now);
            return outcome(request, &answer, answer.cost + rating_cost, answer.latency);
        };
        self.cascade(request, &first, &answer, &second, now)
    }

    /// Rates the first answer synchronously, and calls the second version if it fails.
    fn cascade(
        &mut self,
        request: &Request,
        first: &id::Entry,
        answer: &Answer,
        second: &id::Entry,
        now: time::Moment,
    ) -> Outcome {
        if self.in_outage(now) {
            self.rater.record_timeout();
            let latency = answer.latency + VERDICT_TIMEOUT;
            return outcome(request, answer, answer.cost + RATING_COST, latency);
        }
        let verdict =
            Duration::from_secs_f64(self.rng.random_range(VERDICT_SECS.0..VERDICT_SECS.1));
        self.rater.record_response(verdict);
        let first_key = key(request, first, None);
        self.estimates
            .record(&first_key, evidence::Counts::single(answer.passes));
        let cost = answer.cost + RATING_COST;
        let latency = answer.latency + verdict;
        if answer.passes {
            return outcome(request, answer, cost, latency);
        }
        let second_answer = self.call(request, second);
        let second_key = key(request, second, Some(first));
        let rating_cost = self.rate_async(second_key, &second_answer, SECOND_RATED_FRACTION, now);
        outcome(
            request,
            &second_answer,
            cost + second_answer.cost + rating_cost,
            latency + second_answer.latency,
        )
    }

    fn call(&mut self, request: &Request, entry: &id::Entry) -> Answer {
        let versions = CLASSES[request.class].versions;
        let index = versions
            .iter()
            .position(|version| version.name == entry.as_str())
            .expect("a version of the class");
        let answer = self
            .workload
            .answer(request, &versions[index], &mut self.rng);
        self.estimators[request.class][index].record(answer.latency);
        answer
    }

    /// Rates a fraction of the answers asynchronously. Returns the cost of the rating.
    fn rate_async(
        &mut self,
        key: evidence::Key,
        answer: &Answer,
        fraction: f64,
        now: time::Moment,
    ) -> f64 {
        if !self.rng.random_bool(fraction) {
            return 0.0;
        }
        if self.in_outage(now) {
            self.rater.record_timeout();
            return RATING_COST;
        }
        // The service acknowledges the answer immediately; the rating follows after a delay.
        self.rater
            .record_response(Duration::from_secs_f64(VERDICT_SECS.1));
        if !self.rng.random_bool(LOST_RATINGS) {
            let delay = Duration::from_secs_f64(
                self.rng
                    .random_range(RATING_DELAY_SECS.0..RATING_DELAY_SECS.1),
            );
            let passed = answer.passes;
            self.events
                .schedule(now + delay, Event::Rating { key, passed });
        }
        RATING_COST
    }
}

fn outcome(request: &Request, answer: &Answer, paid: f64, latency: Duration) -> Outcome {
    let versions = CLASSES[request.class].versions.iter();
    let best = versions.reduce(|best, other| {
        if other.quality > best.quality {
            other
        } else {
            best
        }
    });
    let size = request.size();
    Outcome {
        class: request.class,
        organisation: request.organisation,
        passes: answer.passes,
        latency,
        paid,
        best: best.map_or(0.0, |best| best.cost * size),
    }
}

fn key(request: &Request, entry: &id::Entry, after: Option<&id::Entry>) -> evidence::Key {
    evidence::Key {
        entry: entry.clone(),
        organisation: organisation_name(request.organisation),
        after: after.cloned(),
    }
}

fn version(class: usize, entry: &id::Entry) -> &'static Version {
    let mut versions = CLASSES[class].versions.iter();
    let version = versions.find(|version| version.name == entry.as_str());
    version.expect("a version of the class")
}

fn entry_name(version: &Version) -> id::Entry {
    version.name.parse().expect("valid name")
}

fn organisation_name(index: usize) -> id::Organisation {
    format!("organisation-{index}").parse().expect("valid name")
}
