//! What a connection is doing.

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// No byte has arrived.
    New,
    /// A part of a head has arrived.
    Head,
    /// A part of a body has arrived.
    Body,
    /// A request is being served. The connection is not closed for others.
    Busy,
    /// Its response waits for memory, and its request may be sent again.
    Waiting,
    /// It does not read a response that is ready.
    Blocked,
    /// Its request was refused, and the rest of it is discarded.
    Discarding,
    /// It has served a request and waits for another.
    Idle,
}

/// Ticks by which connections that have served a request outlast others.
const IDLE_GRACE: u64 = 10;

impl Stage {
    /// Whether the connection may be closed for others.
    #[must_use]
    pub const fn may_close(self) -> bool {
        !matches!(self, Self::Busy)
    }

    /// Ticks by which a connection in this stage counts as younger than it is.
    #[must_use]
    pub const fn grace(self) -> u64 {
        match self {
            Self::Idle => IDLE_GRACE,
            _ => 0,
        }
    }
}
