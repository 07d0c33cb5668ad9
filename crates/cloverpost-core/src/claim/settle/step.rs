//! The steps of settling a claim.

use std::time::Duration;

use crate::claim::settle::{Action, Attempt, Event, Mode, Outcome, Settle};
use crate::claim::{Precondition, State, VersionedRow};

impl Settle {
    /// The action that follows `event`.
    pub fn step(&mut self, event: Event) -> Action {
        match event {
            Event::Written => Action::Finish(Outcome::Settled),
            // Resending a write whose response was lost is safe: it has the same
            // content and condition, so it takes effect at most once.
            Event::Failed => {
                let delay = self.backoff.next_delay();
                self.after(delay)
            }
            Event::Conflict => self.retry(Attempt::Read),
            Event::Read(seen) => self.on_row(seen),
            Event::Unreadable => Action::Finish(Outcome::Superseded),
        }
    }

    fn retry(&mut self, attempt: Attempt) -> Action {
        self.attempt = attempt;
        self.after(Duration::ZERO)
    }

    fn on_row(&mut self, seen: Option<VersionedRow>) -> Action {
        match seen {
            None => self.on_no_row(),
            Some(seen) if seen.row.same_claim(&self.row) => self.on_own_row(&seen),
            Some(seen) => self.on_other_row(&seen),
        }
    }

    fn on_own_row(&mut self, seen: &VersionedRow) -> Action {
        let is_settled = seen.row.state == self.row.state;
        let is_open = matches!(seen.row.state, State::Running | State::Unknown);
        if is_settled {
            return Action::Finish(Outcome::Settled);
        }
        if is_open {
            return self.retry(Attempt::Write(Precondition::Version(seen.version)));
        }
        Action::Finish(Outcome::Superseded)
    }

    /// The abandoned write may still be in flight. Writing a released row makes its
    /// condition fail when it arrives; otherwise it would leave a running row that
    /// no process settles.
    fn on_no_row(&mut self) -> Action {
        match self.mode {
            Mode::Abandoned => self.retry(Attempt::Write(Precondition::Absent)),
            Mode::Granted => Action::Finish(Outcome::Superseded),
        }
    }

    fn on_other_row(&mut self, seen: &VersionedRow) -> Action {
        let is_released = seen.row.state == State::Released;
        if self.mode == Mode::Abandoned && is_released {
            return self.retry(Attempt::Write(Precondition::Version(seen.version)));
        }
        // The released key was claimed again.
        if self.row.state == State::Released {
            return Action::Finish(Outcome::Settled);
        }
        Action::Finish(Outcome::Superseded)
    }
}
