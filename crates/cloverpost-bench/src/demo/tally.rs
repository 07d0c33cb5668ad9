//! Counts of the checks of one promise.

use std::fmt;

/// Maximum number of violations that are printed.
const MAX_PRINTED: usize = 3;

/// The number of checks of one promise, and its violations.
#[derive(Clone, Debug)]
pub struct Tally {
    promise: &'static str,
    checked: usize,
    violations: Vec<String>,
}

impl Tally {
    /// Creates a tally without checks.
    #[must_use]
    pub const fn new(promise: &'static str) -> Self {
        Self {
            promise,
            checked: 0,
            violations: Vec::new(),
        }
    }

    /// Counts a check; `violation` describes it if it failed.
    pub fn check(&mut self, holds: bool, violation: impl FnOnce() -> String) {
        self.checked += 1;
        if !holds {
            self.violations.push(violation());
        }
    }

    /// Returns whether the promise was checked at least once and never broken.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.checked > 0 && self.violations.is_empty()
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.is_kept() { "kept" } else { "BROKEN" };
        let Self {
            promise,
            checked,
            violations,
        } = self;
        write!(
            f,
            "{word:6} {promise}: {checked} checked, {} broken",
            violations.len()
        )?;
        for violation in violations.iter().take(MAX_PRINTED) {
            write!(f, "\n         {violation}")?;
        }
        Ok(())
    }
}
