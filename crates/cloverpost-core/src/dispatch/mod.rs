//! Attempts and retries of a request, and the refusal returned to the caller.
//!
//! A [`Dispatch`] tracks whether any attempt may have run the request. A request that is not
//! idempotent is retried only while none has, and a refusal reports this state to the caller.

mod failure;
mod next;
mod record_failure;

pub use failure::Failure;
pub use next::Next;

use crate::refusal;
use crate::time;

/// Retry policy of one request.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Whether the request is idempotent and may run more than once.
    pub idempotent: bool,
    /// Maximum number of attempts, including the first.
    pub max_attempts: u32,
    /// Maximum number of attempts that may have run the request, including the first.
    pub max_runs: u32,
    /// Time by which the response must be complete.
    pub deadline: time::Moment,
}

/// Attempt state of one request.
#[derive(Clone, Debug)]
pub struct Dispatch {
    options: Options,
    attempts: u32,
    runs: u32,
    ran: refusal::Ran,
}

impl Dispatch {
    /// Creates the state of a request without attempts.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            attempts: 0,
            runs: 0,
            ran: refusal::Ran::No,
        }
    }

    /// Number of completed attempts that failed or were discarded.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Records an attempt that ran and whose response was discarded.
    pub fn record_discarded(&mut self) {
        self.attempts += 1;
        self.runs += 1;
        self.ran = refusal::Ran::Yes;
    }

    /// Whether the limit on runs permits a further attempt besides the one in progress.
    #[must_use]
    pub fn may_run_again(&self) -> bool {
        self.runs + 1 < self.options.max_runs
    }

    /// Whether the limits permit a further attempt at `now` besides the `in_progress` ones. A request that
    /// is not idempotent never runs side by side with itself.
    #[must_use]
    pub fn may_begin(&self, in_progress: u32, now: time::Moment) -> bool {
        self.options.idempotent
            && now < self.options.deadline
            && self.attempts + in_progress < self.options.max_attempts
            && self.runs + in_progress < self.options.max_runs
    }

    /// Whether any attempt may have run the request.
    #[must_use]
    pub fn ran(&self) -> refusal::Ran {
        self.ran
    }
}
