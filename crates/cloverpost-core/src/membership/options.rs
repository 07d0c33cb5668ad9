//! Settings of membership.

use std::time::Duration;

/// Settings of membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Interval between calls of [`crate::membership::Fleet::tick`].
    pub tick: Duration,
    /// Interval between pings of this VM.
    pub period: Duration,
    /// Time after which an unanswered ping is repeated indirectly. Must exceed the three round
    /// trips that a new connection to another region takes.
    pub direct_timeout: Duration,
    /// Time after which a peer that has not answered is suspect.
    pub probe_timeout: Duration,
    /// Number of peers that an indirect ping is sent through.
    pub relays: usize,
    /// Time to refute a suspicion, per decimal digit of the number of members, because
    /// dissemination takes longer in larger fleets.
    pub suspicion: Duration,
    /// Number of neighbours, which receive changes first.
    pub neighbours: usize,
    /// Number of neighbours that pending changes are sent to on each tick.
    pub fanout: usize,
    /// Maximum number of changes per message.
    pub changes: usize,
    /// Number of transmissions of a change, per binary digit of the number of members.
    pub transmissions: u32,
    /// Minimum interval between full exchanges that this VM requests.
    pub sync_every: Duration,
    /// Minimum number of changed records in a full exchange after which the next one is allowed
    /// after [`Self::sync_soon`], so that a fleet that starts at once converges quickly.
    pub sync_soon_threshold: u64,
    /// Interval to the next full exchange after one with many changes.
    pub sync_soon: Duration,
    /// Number of consecutive heartbeats with a different digest that trigger a full exchange.
    pub mismatches: u32,
    /// Time after which an unlisted VM that is dead or left is forgotten.
    pub forget_after: Duration,
    /// Interval between checks for VMs to forget.
    pub forget_every: Duration,
    /// Gap between ticks that is treated as a pause of this VM.
    pub pause: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(200),
            period: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(600),
            probe_timeout: Duration::from_millis(1500),
            relays: 3,
            suspicion: Duration::from_secs(2),
            neighbours: 8,
            fanout: 2,
            changes: 8,
            transmissions: 3,
            sync_every: Duration::from_secs(30),
            sync_soon_threshold: 8,
            sync_soon: Duration::from_secs(2),
            mismatches: 5,
            forget_after: Duration::from_mins(30),
            forget_every: Duration::from_mins(1),
            pause: Duration::from_secs(1),
        }
    }
}
