//! An admitted request.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use cloverpost_core::billing;
use cloverpost_core::catalogue;
use cloverpost_core::choice;
use cloverpost_core::id;
use cloverpost_core::poison;
use cloverpost_core::refusal;
use cloverpost_core::time;

use crate::upstream;

/// A request that was admitted to run on an entry.
#[derive(Clone, Debug)]
pub struct Job {
    /// Organisation that sent the request and is billed for it.
    pub organisation: id::Organisation,
    /// Entry that runs it.
    pub entry: catalogue::Entry,
    /// Identifies equal requests across resends, to quarantine those that crash upstreams.
    pub fingerprint: poison::Fingerprint,
    /// Upstream preference derived from the session or the start of the prompt.
    pub affinity: Option<choice::Affinity>,
    /// Request to send to an upstream.
    pub call: upstream::Call,
    /// Whether the caller requested a stream of events.
    pub stream: bool,
    /// Whether the caller requested the usage at the end of a stream.
    pub include_usage: bool,
    /// Whether an upstream may have started it.
    pub may_have_run: Arc<AtomicBool>,
    /// When the request was received.
    pub received: time::Moment,
    /// Time from `received` to the deadline.
    pub time_limit: Duration,
    /// When its entry became the current one of the cascade.
    pub entry_start: time::Moment,
    /// Charges for earlier responses of the cascade, which the caller does not receive.
    pub prior_charges: Vec<billing::Charge>,
    /// Entry that precedes this one in the cascade.
    pub previous_entry: Option<id::Entry>,
    /// Whether the request ran on the previous entry.
    pub previous_ran: refusal::Ran,
    /// Prompt to send to the rater, if the response is to be rated.
    pub rated_prompt: Option<String>,
}

impl Job {
    /// Time by which the response must be complete.
    #[must_use]
    pub fn deadline(&self) -> time::Moment {
        self.received + self.time_limit
    }

    /// Whether it may run more than once.
    #[must_use]
    pub fn idempotent(&self) -> bool {
        self.entry.may_repeat(self.call.method.as_str())
    }
}
