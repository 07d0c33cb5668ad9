//! Failure kinds of a request attempt.

use crate::refusal::{Code, Ran};

/// Failure kind of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// The connection could not be established; nothing was sent.
    NotSent,
    /// The upstream indicated that it did not start processing the request.
    NotStarted,
    /// The connection was lost before the first byte of the response.
    ConnectionLost,
    /// This VM lost its path to the upstream, which may have run the request.
    PathLost,
    /// The attempt timed out before the first byte of the response.
    TimedOut,
    /// The upstream returned an error.
    Failed,
    /// The response belongs to another request; the outcome of this one is unknown.
    Mismatched,
    /// The response has a status that ends no request, so it says nothing of this one.
    BadStatus,
    /// The response was truncated, or its end marker is missing.
    Truncated,
    /// The response is malformed.
    Malformed,
    /// The attempt timed out after the response began.
    Stalled,
}

impl Failure {
    /// Whether the upstream ran the request.
    #[must_use]
    pub const fn ran(self) -> Ran {
        match self {
            Self::NotSent | Self::NotStarted => Ran::No,
            Self::ConnectionLost
            | Self::PathLost
            | Self::TimedOut
            | Self::Failed
            | Self::Mismatched
            | Self::BadStatus => Ran::Unknown,
            Self::Truncated | Self::Malformed | Self::Stalled => Ran::Yes,
        }
    }

    /// Whether a retry is exempt from the retry budget because the failed attempt caused no work
    /// on any upstream.
    #[must_use]
    pub const fn is_exempt_from_budget(self) -> bool {
        matches!(self, Self::NotSent)
    }

    /// Whether the request may have crashed the upstream.
    #[must_use]
    pub const fn may_be_crash(self) -> bool {
        matches!(self, Self::ConnectionLost | Self::Truncated)
    }

    /// Refusal code to return if this is the last failure.
    #[must_use]
    pub const fn code(self) -> Code {
        match self {
            Self::NotSent | Self::NotStarted => Code::NoUpstream,
            Self::TimedOut | Self::Stalled => Code::TimedOut,
            Self::ConnectionLost
            | Self::PathLost
            | Self::Failed
            | Self::Mismatched
            | Self::BadStatus
            | Self::Truncated
            | Self::Malformed => Code::UpstreamFailed,
        }
    }

    /// Name of the failure, for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotStarted => "not_started",
            Self::ConnectionLost => "lost",
            Self::PathLost => "path_lost",
            Self::TimedOut => "timed_out",
            Self::Failed => "failed",
            Self::Mismatched => "mismatched",
            Self::BadStatus => "bad_status",
            Self::Truncated => "cut",
            Self::Malformed => "garbled",
            Self::Stalled => "stalled",
        }
    }
}
