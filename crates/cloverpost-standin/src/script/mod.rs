//! Scripts of the faults that a stand-in injects.
//!
//! A [`Rule`] assigns a [`Fault`] to requests. The first rule that matches a request applies, and
//! one of its uses is consumed.

mod command;
mod fault;
mod millis;
mod point;
mod rule;

use std::sync::Mutex;

pub use command::Command;
pub use fault::Fault;
pub use point::Point;
pub use rule::Rule;

/// The active rules, in the order in which they are tried.
#[derive(Debug, Default)]
pub struct Script {
    rules: Mutex<Vec<Rule>>,
}

impl Script {
    /// Appends a rule.
    ///
    /// # Panics
    ///
    /// If the lock is poisoned.
    pub fn add(&self, rule: Rule) {
        self.rules.lock().expect("rules lock poisoned").push(rule);
    }

    /// Removes all rules.
    ///
    /// # Panics
    ///
    /// If the lock is poisoned.
    pub fn clear(&self) {
        self.rules.lock().expect("rules lock poisoned").clear();
    }

    /// Returns the fault for a request for work to `path` with `body` and consumes one use of its
    /// rule.
    ///
    /// # Panics
    ///
    /// If the lock is poisoned.
    pub fn take(&self, path: &str, body: &[u8]) -> Option<Fault> {
        self.take_first(|rule| rule.matches(path, body))
    }

    /// Returns the fault for a control request. Only rules with its path apply, so that polls do not
    /// consume rules for requests for work.
    ///
    /// # Panics
    ///
    /// If the lock is poisoned.
    pub fn take_for_path(&self, path: &str, body: &[u8]) -> Option<Fault> {
        self.take_first(|rule| rule.path.is_some() && rule.matches(path, body))
    }

    fn take_first(&self, matches: impl Fn(&Rule) -> bool) -> Option<Fault> {
        let mut rules = self.rules.lock().expect("rules lock poisoned");
        let index = rules.iter().position(matches)?;
        let fault = rules[index].fault.clone();
        if rules[index].consume() {
            rules.remove(index);
        }
        Some(fault)
    }
}
