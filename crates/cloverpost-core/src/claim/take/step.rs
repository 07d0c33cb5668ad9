//! The steps of taking a claim.

use crate::claim::take::{Action, Error, Event, Outcome, Phase, Take};
use crate::claim::{self, Claimant, Liveness, Precondition, State};
use crate::time;

impl Take {
    /// Returns the action that follows `event`. `liveness` returns the liveness of
    /// another claimant.
    pub fn step(
        &mut self,
        event: Event,
        now: time::Moment,
        liveness: impl Fn(&Claimant) -> Liveness,
    ) -> Action {
        match (self.phase, event) {
            (_, Event::Read(None)) => self.on_no_row(now),
            (_, Event::Read(Some(seen))) => self.on_row(seen, liveness),
            (_, Event::ReadFailed) => self.read_again(now),
            (_, Event::Unreadable) => self.unreadable(),
            (Phase::Claim, Event::Written) => self.granted(self.expect.next_version()),
            (Phase::Claim, Event::Failed { is_indeterminate }) => {
                self.failed(is_indeterminate, now)
            }
            // Marking only saves later requests the liveness check; the outcome is
            // unknown whether or not the write took effect.
            (Phase::MarkUnknown, Event::Written | Event::Failed { .. }) => {
                Action::Finish(Err(Error::OutcomeUnknown))
            }
            (Phase::Claim, Event::Conflict) => self.conflict(),
            (Phase::MarkUnknown, Event::Conflict) => Action::Read {
                after: std::time::Duration::ZERO,
            },
        }
    }

    fn granted(&mut self, version: u64) -> Action {
        self.in_doubt = false;
        Action::Finish(Ok(Outcome::Granted { version }))
    }

    fn conflict(&mut self) -> Action {
        self.conflict_unread = true;
        Action::Read {
            after: std::time::Duration::ZERO,
        }
    }

    fn failed(&mut self, is_indeterminate: bool, now: time::Moment) -> Action {
        self.in_doubt |= is_indeterminate;
        if is_indeterminate && now < self.deadline {
            return Action::Read {
                after: std::time::Duration::ZERO,
            };
        }
        self.unavailable()
    }

    fn read_again(&mut self, now: time::Moment) -> Action {
        if now < self.deadline {
            return Action::Read {
                after: self.backoff.next_delay(),
            };
        }
        self.unavailable()
    }

    fn unreadable(&mut self) -> Action {
        self.conflict_unread = true;
        self.unavailable()
    }

    /// The write has not taken effect, so it is sent again. If the first one is
    /// only delayed, one of the two conflicts and the row is read back.
    fn on_no_row(&mut self, now: time::Moment) -> Action {
        self.conflict_unread = false;
        if now >= self.deadline {
            return self.unavailable();
        }
        self.claim_under(Precondition::Absent)
    }

    fn on_row(
        &mut self,
        seen: claim::VersionedRow,
        liveness: impl Fn(&Claimant) -> Liveness,
    ) -> Action {
        self.conflict_unread = false;
        if seen.row.same_claim(&self.row) {
            return self.on_own_row(&seen);
        }
        if seen.row.state == State::Released {
            return self.claim_under(Precondition::Version(seen.version));
        }
        // The row holds another claim, so the condition of an earlier write of this
        // attempt can no longer hold.
        self.in_doubt = false;
        if seen.row.body != self.row.body {
            return Action::Finish(Err(Error::KeyReused));
        }
        match seen.row.state {
            State::Done(answer) => Action::Finish(Ok(Outcome::Replayed(answer))),
            State::Unknown | State::Released => Action::Finish(Err(Error::OutcomeUnknown)),
            State::Running => self.on_running_row(&seen, liveness),
        }
    }

    /// The row is that of this request. It is granted only if a write of this
    /// attempt is in doubt; a second attempt with the same request id must not
    /// run it again.
    fn on_own_row(&mut self, seen: &claim::VersionedRow) -> Action {
        if !self.in_doubt {
            return Action::Finish(Err(Error::InProgress));
        }
        if seen.row.state == State::Running {
            return self.granted(seen.version);
        }
        // Another process considered this one dead and marked the claim. The
        // request is not dispatched, and the row is cleaned up.
        self.unavailable()
    }

    fn on_running_row(
        &mut self,
        seen: &claim::VersionedRow,
        liveness: impl Fn(&Claimant) -> Liveness,
    ) -> Action {
        let claimant = &seen.row.claimant;
        let is_dead = claimant.precedes(&self.row.claimant) || liveness(claimant) == Liveness::Dead;
        if !is_dead {
            return Action::Finish(Err(Error::InProgress));
        }
        self.phase = Phase::MarkUnknown;
        Action::Write {
            expect: Precondition::Version(seen.version),
            row: seen.row.with_state(State::Unknown),
        }
    }

    fn claim_under(&mut self, expect: Precondition) -> Action {
        // An earlier write under another condition can no longer take effect.
        self.in_doubt &= expect == self.expect;
        self.phase = Phase::Claim;
        self.expect = expect;
        Action::Write {
            expect,
            row: self.row.clone(),
        }
    }
}
