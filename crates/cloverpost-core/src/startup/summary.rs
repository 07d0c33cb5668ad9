//! Counts of the requests that arrived before the first configuration.

use std::time::Duration;

use crate::startup::{Outcome, Reason};

/// Counts of the requests that arrived before the first configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Requests that waited.
    pub waited: u64,
    /// Requests that waited until the configuration arrived.
    pub released: u64,
    /// Requests that waited as long as their timeouts allowed.
    pub expired: u64,
    /// Requests that were refused for another reason.
    pub refused: u64,
    /// Requests whose callers disconnected.
    pub left: u64,
    /// The longest wait.
    pub longest: Duration,
}

impl Summary {
    pub(super) fn record(&mut self, outcome: Outcome) {
        let count = match outcome {
            Outcome::Released => &mut self.released,
            Outcome::Refused(Reason::Expired) => &mut self.expired,
            Outcome::Refused(_) => &mut self.refused,
            Outcome::Left => &mut self.left,
        };
        *count += 1;
    }
}
