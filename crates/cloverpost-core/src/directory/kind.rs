//! Repeatability of requests.

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Kind {
    /// Any number of times.
    Idempotent,
    /// At most once.
    AtMostOnce,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another upstream can resume after the last event.
    ResumableStream,
}

impl Kind {
    /// Whether a request that may already have run can be sent again.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the response is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}
