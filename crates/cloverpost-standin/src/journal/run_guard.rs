//! Guards of open runs.

use crate::journal::{Journal, State};

/// An open run, marked cancelled if dropped while it is open.
#[derive(Debug)]
pub struct RunGuard {
    journal: Journal,
    index: usize,
    open: bool,
}

impl RunGuard {
    pub(super) fn new(journal: Journal, index: usize) -> Self {
        Self {
            journal,
            index,
            open: true,
        }
    }

    /// Marks the run finished.
    pub fn finish(&mut self) {
        self.set_state(State::Finished);
    }

    /// Marks the run failed because of an injected fault.
    pub fn fail(&mut self) {
        self.set_state(State::Failed);
    }

    fn set_state(&mut self, state: State) {
        if self.open {
            self.open = false;
            self.journal.set_state(self.index, state);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.set_state(State::Cancelled);
    }
}
