//! Settings of catalogue propagation.

use std::time::Duration;

/// Settings of catalogue propagation. They must be the same on all VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long a confirmation allows new work.
    pub window: Duration,
    /// Time between exchanges with peers while nothing changes.
    pub idle_interval: Duration,
    /// Time between exchanges after a change, or while the store's confirmation is
    /// stale.
    pub active_interval: Duration,
    /// How long a change keeps the shorter interval in use.
    pub active_period: Duration,
    /// Number of peers queried in each exchange.
    pub query_fanout: usize,
    /// Number of peers that a new revision is pushed to.
    pub push_fanout: usize,
    /// Time between polls of the store by one VM.
    pub poll_interval: Duration,
    /// Number of VMs per zone that poll the store while nothing changes.
    pub pollers_per_zone: usize,
    /// Time after which the catalogue may be requested from another peer.
    pub fetch_timeout: Duration,
}

impl Options {
    /// Time after which every confirmation of an earlier revision has expired: the
    /// window, plus 5 % for clock drift between VMs.
    #[must_use]
    pub fn confirmation_expiry(&self) -> Duration {
        self.window + self.window / 20
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(3),
            idle_interval: Duration::from_secs(1),
            active_interval: Duration::from_millis(200),
            active_period: Duration::from_secs(1),
            query_fanout: 2,
            push_fanout: 4,
            poll_interval: Duration::from_secs(1),
            pollers_per_zone: 2,
            fetch_timeout: Duration::from_millis(500),
        }
    }
}
