//! What may be repeated.

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Kind {
    /// Any number of times.
    Idempotent,
    /// Once at most.
    AtMostOnce,
    /// A stream of events that runs once at most.
    Stream,
    /// A stream of events that another upstream may take up after the last event.
    ResumableStream,
}

impl Kind {
    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}
