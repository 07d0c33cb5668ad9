//! How the versions of services answer.

use std::collections::HashMap;
use std::time::Duration;

use cloverpost_core::evidence::Counts;
use cloverpost_core::{id, rollout};

/// Multiple of the usual time to an answer from which on it counts against its
/// version. Prompts differ in length by as much, but on both versions alike.
const SLOW: f64 = 3.0;
/// Part of a new time in the usual one.
const PART: f64 = 0.05;
/// Share of the roll-outs of good versions that may be halted on one VM.
const FALSE_HALT: f64 = 0.002;

/// Counts of good and bad answers, by service and version.
#[derive(Debug, Default)]
pub struct Evidence {
    counts: HashMap<(id::Pool, id::Version), Counts>,
    usual: HashMap<(id::Entry, Option<id::Model>), f64>,
}

/// Where an answer came from.
#[derive(Clone, Debug)]
pub struct Origin<'a> {
    /// The service.
    pub service: &'a id::Pool,
    /// Version of its software.
    pub version: &'a id::Version,
    /// Route of the request.
    pub route: &'a id::Entry,
    /// Model that answered.
    pub model: Option<&'a id::Model>,
}

impl Evidence {
    /// Notes the time to an answer's start; whether it is slow against the usual.
    pub fn time(&mut self, origin: &Origin<'_>, took: Duration) -> bool {
        let took = took.as_secs_f64();
        let key = (origin.route.clone(), origin.model.cloned());
        let usual = self.usual.entry(key).or_insert(took);
        let is_slow = took > *usual * SLOW;
        // One that is far off must not move what it is measured against.
        *usual += (took.min(*usual * SLOW) - *usual) * PART;
        is_slow
    }

    /// Counts an answer of a version.
    pub fn count(&mut self, origin: &Origin<'_>, good: bool) {
        let key = (origin.service.clone(), origin.version.clone());
        let counts = self.counts.entry(key).or_default();
        if good {
            counts.passes += 1;
        } else {
            counts.fails += 1;
        }
    }

    /// Forgets what was counted for `service`, as a roll-out begins.
    pub fn reset(&mut self, service: &id::Pool) {
        self.counts.retain(|(one, _), _| one != service);
    }

    /// Counts of `target` and of all other versions of `service`.
    pub fn of(&self, service: &id::Pool, target: &id::Version) -> rollout::Evidence {
        let mut found = rollout::Evidence::default();
        for ((one, version), counts) in &self.counts {
            if one != service {
                continue;
            }
            let side = if version == target {
                &mut found.new
            } else {
                &mut found.old
            };
            side.passes += counts.passes;
            side.fails += counts.fails;
        }
        found
    }

    /// Whether `target` answers worse than the other versions of `service`.
    pub fn is_worse(&self, service: &id::Pool, target: &id::Version) -> bool {
        rollout::is_worse(self.of(service, target), FALSE_HALT)
    }
}
