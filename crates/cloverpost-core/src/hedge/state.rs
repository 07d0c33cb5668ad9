//! The run in use and the attempts beside it.

use crate::hedge::Step;

/// What is in progress for one request: at most one run, whose response has begun, and attempts that
/// wait for theirs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hedge {
    has_run: bool,
    attempts: u32,
}

impl Hedge {
    /// A request whose response has begun or goes on, for which all attempts beside it are discarded.
    #[must_use]
    pub const fn of_run() -> Self {
        Self {
            has_run: true,
            attempts: 0,
        }
    }

    /// Number of upstreams that may run the request now.
    #[must_use]
    pub fn in_progress(self) -> u32 {
        u32::from(self.has_run) + self.attempts
    }

    /// Records that an attempt is sent.
    pub const fn begin(&mut self) {
        self.attempts += 1;
    }

    /// Records that an attempt ended without a usable response.
    pub fn attempt_failed(&mut self) -> Step {
        self.attempts = self.attempts.saturating_sub(1);
        self.step()
    }

    /// Records that the run in use broke off.
    pub fn run_failed(&mut self) -> Step {
        self.has_run = false;
        self.step()
    }

    fn step(self) -> Step {
        if self.in_progress() > 0 {
            Step::Wait
        } else {
            Step::Retry
        }
    }
}
