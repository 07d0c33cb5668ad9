//! Schedules the writes that advance rollouts.
//!
//! A VM derives its next write from its copy of a row, so without throttling a VM with a stale copy
//! would repeat the same write on every tick: twenty such VMs made 140 writes per second, a third
//! of what the store takes. Each VM also defers a step to the VMs ranked before it.

use std::collections::HashMap;
use std::time::Duration;

use cloverpost_core::directory::{State, Version};
use cloverpost_core::{id, time};

use crate::gateway::rollouts::Step;
use crate::gateway::store::Error;

/// Retry delay after a successful or conflicting write whose result is not visible yet. The change
/// usually arrives within half a second.
const ANSWERED_RETRY: Duration = Duration::from_secs(1);
/// Retry delay after a failed write. The write may have been applied.
const FAILED_RETRY: Duration = Duration::from_millis(250);

/// The last write for a service and the time of its next retry.
#[derive(Debug)]
struct Attempt {
    expected: Version,
    state: State,
    retry_at: time::Moment,
}

/// A step deferred to other VMs.
#[derive(Debug)]
struct Deferred {
    expected: Version,
    state: State,
    since: time::Moment,
}

impl Deferred {
    fn matches(&self, step: &Step) -> bool {
        self.expected == step.expected && self.state == step.progress.state
    }
}

/// Writes in flight, attempted and deferred.
#[derive(Debug, Default)]
pub struct Writes {
    is_in_flight: bool,
    attempts: HashMap<id::Pool, Attempt>,
    deferred: HashMap<id::Pool, Deferred>,
}

impl Writes {
    /// Returns whether writes are in flight.
    pub const fn are_in_flight(&self) -> bool {
        self.is_in_flight
    }

    /// Returns those of `steps` that are due and marks them as in flight.
    pub fn begin(&mut self, steps: Vec<Step>, now: time::Moment) -> Vec<Step> {
        let mut due = Vec::new();
        for step in steps {
            let deferred_for = self.deferred_for(&step, now);
            if deferred_for >= step.delay && self.is_due(&step, now) {
                due.push(step.deferred_by(deferred_for));
            }
        }
        self.is_in_flight = !due.is_empty();
        due
    }

    /// Returns how long `step` has been deferred to other VMs.
    fn deferred_for(&mut self, step: &Step, now: time::Moment) -> Duration {
        let service = &step.progress.service;
        if !self
            .deferred
            .get(service)
            .is_some_and(|deferred| deferred.matches(step))
        {
            let deferred = Deferred {
                expected: step.expected,
                state: step.progress.state,
                since: now,
            };
            self.deferred.insert(service.clone(), deferred);
        }
        let deferred = self.deferred.get(service);
        deferred.map_or(Duration::ZERO, |deferred| now.since(deferred.since))
    }

    fn is_due(&self, step: &Step, now: time::Moment) -> bool {
        let attempt = self.attempts.get(&step.progress.service);
        attempt.is_none_or(|attempt| {
            attempt.expected != step.expected
                || attempt.state != step.progress.state
                || now >= attempt.retry_at
        })
    }

    /// Records the results of the writes in flight and returns whether any conflicted with another
    /// VM's write.
    pub fn end(&mut self, results: &[(Step, Result<(), Error>)], now: time::Moment) -> bool {
        self.is_in_flight = false;
        for (step, result) in results {
            let retry_delay = match result {
                Ok(()) | Err(Error::Conflict) => ANSWERED_RETRY,
                Err(_) => FAILED_RETRY,
            };
            let attempt = Attempt {
                expected: step.expected,
                state: step.progress.state,
                retry_at: now + retry_delay,
            };
            self.attempts.insert(step.progress.service.clone(), attempt);
        }
        results
            .iter()
            .any(|(_, result)| *result == Err(Error::Conflict))
    }
}
