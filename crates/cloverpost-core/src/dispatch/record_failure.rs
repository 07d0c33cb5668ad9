//! Handling of failed attempts.

use crate::dispatch::{Dispatch, Failure, Next};
use crate::refusal::{Code, Ran, Refusal};
use crate::time;

impl Dispatch {
    /// Records a failed attempt and decides whether to retry.
    ///
    /// `within_budget` is called only if the request itself allows a retry.
    pub fn record_failure(
        &mut self,
        failure: Failure,
        now: time::Moment,
        within_budget: impl FnOnce() -> bool,
    ) -> Next {
        self.record_last_failure(failure);
        let retry = self.may_retry(now) && (failure.is_exempt_from_budget() || within_budget());
        if retry {
            return Next::Retry;
        }
        Next::Refuse(self.refusal(failure.code(), failure.as_str()))
    }

    /// Records a failed attempt after which the request is not retried.
    pub fn record_last_failure(&mut self, failure: Failure) {
        self.attempts += 1;
        if failure.ran() != Ran::No {
            self.runs += 1;
        }
        self.ran = combine(self.ran, failure.ran());
    }

    /// Refusal to return if no upstream is left to try.
    #[must_use]
    pub fn no_upstream(&self) -> Refusal {
        self.refusal(Code::NoUpstream, "no upstream takes the request")
    }

    /// Creates a refusal whose `ran` field covers all attempts.
    #[must_use]
    pub fn refusal(&self, code: Code, reason: &str) -> Refusal {
        let message = match self.attempts {
            0 => reason.to_owned(),
            1 => format!("the attempt failed: {reason}"),
            attempts => format!("{attempts} attempts failed, the last: {reason}"),
        };
        Refusal {
            ran: self.ran,
            ..Refusal::not_run(code, message)
        }
    }

    /// A request that is not idempotent is retried only while no attempt can have run it.
    fn may_retry(&self, now: time::Moment) -> bool {
        let is_safe = self.options.idempotent || self.ran == Ran::No;
        let is_in_time = now < self.options.deadline;
        let has_attempt_left =
            self.attempts < self.options.max_attempts && self.runs < self.options.max_runs;
        is_safe && is_in_time && has_attempt_left
    }
}

/// The outcome to report for two attempts: [`Ran::Yes`] over [`Ran::Unknown`] over [`Ran::No`].
const fn combine(one: Ran, other: Ran) -> Ran {
    match (one, other) {
        (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
        (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
        (Ran::No, Ran::No) => Ran::No,
    }
}
