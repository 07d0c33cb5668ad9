//! Load reports of upstreams.

use crate::time;

/// Load caused by other VMs, as reported by an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    peer_load: u32,
    taken: time::Moment,
}

impl Report {
    /// Creates a report of `load` requests in total, of which `own` belong to this VM.
    ///
    /// `taken` is the time of arrival minus the lag stated by the upstream.
    #[must_use]
    pub const fn new(load: u32, own: u32, taken: time::Moment) -> Self {
        Self {
            peer_load: load.saturating_sub(own),
            taken,
        }
    }

    /// Requests of other VMs, running or queued.
    #[must_use]
    pub const fn peer_load(self) -> u32 {
        self.peer_load
    }

    /// When the load was sampled, on this VM's clock.
    #[must_use]
    pub const fn taken(self) -> time::Moment {
        self.taken
    }
}
