//! Writes that move roll-outs on, and when one may be tried again.
//!
//! A VM decides by its copy of a row. Until the copy changes it decides the same, and the write
//! ends the same: done already, or behind another VM's. VMs that miss the news of a roll-out's end
//! would each write it at every tick: 140 writes a second were seen from 20 VMs, a third of what
//! the store takes from all. For the same reason each VM leaves a step to those that come before
//! it for a while.

use std::collections::HashMap;
use std::time::Duration;

use cloverpost_core::directory::{State, Version};
use cloverpost_core::{id, time};

use crate::gateway::rollouts::Step;
use crate::gateway::store::Error;

/// Time after which a write is tried again although its row has not changed here: news of a
/// row come within half a second, the pause between two readings of its feed and a peer's answer.
const AGAIN: Duration = Duration::from_secs(1);
/// Time after which a write is tried again that the store did not take. It may have been done,
/// and what it does must happen within seconds.
const RETRY: Duration = Duration::from_millis(250);

/// What a write was to do, and when it may be tried again.
#[derive(Debug)]
struct Tried {
    expected: Version,
    state: State,
    again: time::Moment,
}

/// A step that is left to other VMs.
#[derive(Debug)]
struct Left {
    expected: Version,
    state: State,
    since: time::Moment,
}

impl Left {
    fn is(&self, step: &Step) -> bool {
        self.expected == step.expected && self.state == step.progress.state
    }
}

/// Writes under way and tried.
#[derive(Debug, Default)]
pub struct Writes {
    is_writing: bool,
    tried: HashMap<id::Pool, Tried>,
    /// Steps that are left to other VMs, and since when they are due.
    left: HashMap<id::Pool, Left>,
}

impl Writes {
    /// Whether writes are under way.
    pub const fn are_under_way(&self) -> bool {
        self.is_writing
    }

    /// Those of `steps` that may be tried now; they count as under way.
    pub fn begin(&mut self, steps: Vec<Step>, now: time::Moment) -> Vec<Step> {
        let mut taken = Vec::new();
        for step in steps {
            let waited = self.waited(&step, now);
            if waited >= step.waits && self.is_due(&step, now) {
                taken.push(step.taken_after(waited));
            }
        }
        self.is_writing = !taken.is_empty();
        taken
    }

    /// Time for which `step` has been left to others.
    fn waited(&mut self, step: &Step, now: time::Moment) -> Duration {
        let service = &step.progress.service;
        if !self.left.get(service).is_some_and(|left| left.is(step)) {
            let left = Left {
                expected: step.expected,
                state: step.progress.state,
                since: now,
            };
            self.left.insert(service.clone(), left);
        }
        let left = self.left.get(service);
        left.map_or(Duration::ZERO, |left| now.since(left.since))
    }

    fn is_due(&self, step: &Step, now: time::Moment) -> bool {
        let tried = self.tried.get(&step.progress.service);
        tried.is_none_or(|tried| {
            tried.expected != step.expected
                || tried.state != step.progress.state
                || now >= tried.again
        })
    }

    /// Notes how the writes under way ended; whether one came after another VM's.
    pub fn end(&mut self, ended: &[(Step, Result<(), Error>)], now: time::Moment) -> bool {
        self.is_writing = false;
        for (step, result) in ended {
            let pause = match result {
                Ok(()) | Err(Error::Conflict) => AGAIN,
                Err(_) => RETRY,
            };
            let tried = Tried {
                expected: step.expected,
                state: step.progress.state,
                again: now + pause,
            };
            self.tried.insert(step.progress.service.clone(), tried);
        }
        ended
            .iter()
            .any(|(_, result)| *result == Err(Error::Conflict))
    }
}
