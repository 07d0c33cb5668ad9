//! The state that the request path reads.

use crate::id;
use crate::time;

/// The catalogue revision of a VM and the end of its validity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The revision.
    pub revision: id::Revision,
    /// Epoch of the roster.
    pub epoch: id::Epoch,
    /// When the confirmation expires. Checked at each admission instead of kept as a
    /// flag, because a flag would be stale after the VM was paused.
    pub valid_until: time::Moment,
}

impl View {
    /// Whether new work may be taken at `now`.
    #[must_use]
    pub fn confirmed(&self, now: time::Moment) -> bool {
        now < self.valid_until
    }
}
