//! The way of one request: attempts, retries and what the caller is told.
//!
//! A [`Dispatch`] remembers the worst that any attempt may have done. A call that
//! may not be repeated is sent again only while that memory says that nothing
//! ran, and a refusal repeats it to the caller.

mod failed;
mod failure;
mod next;

pub use failure::Failure;
pub use next::Next;

use crate::refusal;
use crate::time;

/// Rules for the attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Whether the request may run twice.
    pub repeatable: bool,
    /// Most attempts, the first included.
    pub max_attempts: u32,
    /// Most attempts that may have run the request, the first included.
    pub max_runs: u32,
    /// When the answer must be whole.
    pub deadline: time::Moment,
}

/// The attempts of one request so far.
#[derive(Clone, Debug)]
pub struct Dispatch {
    options: Options,
    attempts: u32,
    runs: u32,
    ran: refusal::Ran,
}

impl Dispatch {
    /// A request that was not sent yet.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            attempts: 0,
            runs: 0,
            ran: refusal::Ran::No,
        }
    }

    /// Attempts that failed so far.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Notes an attempt that ran and whose answer is not used.
    pub fn dropped(&mut self) {
        self.attempts += 1;
        self.runs += 1;
        self.ran = refusal::Ran::Yes;
    }

    /// Whether another attempt may run the request besides one that is under way.
    #[must_use]
    pub fn has_run_left(&self) -> bool {
        self.runs + 1 < self.options.max_runs
    }

    /// Whether any attempt may have run the request.
    #[must_use]
    pub fn ran(&self) -> refusal::Ran {
        self.ran
    }
}
