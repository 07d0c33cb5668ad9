//! Fault injection between VMs, for tests.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cloverpost_core::id;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Faults that apply to messages between VMs.
#[derive(Clone, Debug, Default)]
pub struct Rule {
    /// Sender; any VM if `None`.
    pub from: Option<id::Vm>,
    /// Receiver; any VM if `None`.
    pub to: Option<id::Vm>,
    /// Probability that a message is lost.
    pub lost: f64,
    /// Probability that a message is sent twice.
    pub duplicated: f64,
    /// Maximum delay. It is drawn per message, so messages may be reordered.
    pub delay: Duration,
}

impl Rule {
    /// Whether the rule applies to messages from `from` to `to`.
    fn matches(&self, from: &id::Vm, to: &id::Vm) -> bool {
        let applies = |filter: &Option<id::Vm>, vm| filter.as_ref().is_none_or(|name| name == vm);
        applies(&self.from, from) && applies(&self.to, to)
    }
}

/// Faults that apply to one message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effect {
    /// The message is lost.
    pub lost: bool,
    /// The message is sent twice.
    pub duplicated: bool,
    /// Delay before the message is sent.
    pub delay: Duration,
}

/// Fault rules, shared by all links that hold a clone. Empty by default.
#[derive(Clone, Debug)]
pub struct Faults(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    /// Whether any rule exists; lets links skip the lock otherwise.
    active: AtomicBool,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    rules: Vec<Rule>,
    rng: ChaCha8Rng,
}

impl Default for Faults {
    fn default() -> Self {
        Self::seeded(0)
    }
}

impl Faults {
    /// No rules; `seed` seeds the random draws of rules added later.
    #[must_use]
    pub fn seeded(seed: u64) -> Self {
        let state = State {
            rules: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Self(Arc::new(Shared {
            active: AtomicBool::new(false),
            state: Mutex::new(state),
        }))
    }

    /// Adds a rule; the first rule that matches a message applies.
    pub fn add(&self, rule: Rule) {
        self.with_state(|state| state.rules.push(rule));
        self.0.active.store(true, Ordering::Release);
    }

    /// Drops all messages between two VMs, in both directions.
    pub fn partition(&self, one: &id::Vm, other: &id::Vm) {
        for (from, to) in [(one, other), (other, one)] {
            self.add(Rule {
                from: Some(from.clone()),
                to: Some(to.clone()),
                lost: 1.0,
                ..Rule::default()
            });
        }
    }

    /// Drops all messages to and from a VM.
    pub fn isolate(&self, vm: &id::Vm) {
        let lost = Rule {
            lost: 1.0,
            ..Rule::default()
        };
        self.add(Rule {
            from: Some(vm.clone()),
            ..lost.clone()
        });
        self.add(Rule {
            to: Some(vm.clone()),
            ..lost
        });
    }

    /// Removes all rules.
    pub fn heal(&self) {
        self.0.active.store(false, Ordering::Release);
        self.with_state(|state| state.rules.clear());
    }

    /// Draws the faults of the next message from `from` to `to`.
    pub(super) fn next_effect(&self, from: &id::Vm, to: &id::Vm) -> Effect {
        if !self.0.active.load(Ordering::Acquire) {
            return Effect::default();
        }
        self.with_state(|state| {
            let Some(rule) = state.rules.iter().find(|rule| rule.matches(from, to)) else {
                return Effect::default();
            };
            Effect {
                lost: state.rng.random_bool(rule.lost),
                duplicated: state.rng.random_bool(rule.duplicated),
                delay: rule.delay.mul_f64(state.rng.random()),
            }
        })
    }

    fn with_state<T>(&self, work: impl FnOnce(&mut State) -> T) -> T {
        work(&mut self.0.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
