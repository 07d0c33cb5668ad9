//! Errors of message delivery.

use std::fmt;

use cloverpost_core::id;
use cloverpost_wire as wire;

/// Delivery of a message failed or is uncertain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The links are closed.
    Closed,
    /// [`Options::max_calls`](crate::peer::Options::max_calls) calls to the peer are in flight.
    TooManyCalls,
    /// A recent failure has started a backoff that has not elapsed yet.
    BackingOff,
    /// Connecting failed or timed out.
    Unreachable,
    /// The VMs share no key, or the peer rejected a tag.
    Unauthenticated,
    /// A different VM uses the address.
    WrongVm {
        /// The VM that uses the address.
        found: id::Vm,
    },
    /// The message cannot be encoded, or the response cannot be decoded.
    Frame(wire::Error),
    /// The peer's inbox is full.
    Busy,
    /// The peer rejected the message.
    Refused,
    /// The message timed out.
    TimedOut,
    /// The connection failed.
    ConnectionLost,
    /// The peer received the message but sent no response in time.
    Unanswered,
}

impl Error {
    /// Whether the peer may have received the message despite the error.
    #[must_use]
    pub const fn may_have_arrived(&self) -> bool {
        matches!(
            self,
            Self::TimedOut | Self::ConnectionLost | Self::Unanswered | Self::Frame(_)
        )
    }

    /// Whether the connection has to be replaced.
    pub(super) const fn breaks_link(&self) -> bool {
        matches!(
            self,
            Self::TimedOut | Self::ConnectionLost | Self::Unauthenticated
        )
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("links are closed"),
            Self::TooManyCalls => f.write_str("too many calls to the peer are in flight"),
            Self::BackingOff => f.write_str("peer failed recently; backing off"),
            Self::Unreachable => f.write_str("cannot connect to peer"),
            Self::Unauthenticated => f.write_str("peer authentication failed"),
            Self::WrongVm { found } => write!(f, "address is now used by VM {found}"),
            Self::Frame(error) => write!(f, "{error}"),
            Self::Busy => f.write_str("peer's inbox is full"),
            Self::Refused => f.write_str("peer rejected the message"),
            Self::TimedOut => f.write_str("message timed out"),
            Self::ConnectionLost => f.write_str("connection to peer failed"),
            Self::Unanswered => f.write_str("peer sent no response"),
        }
    }
}

impl std::error::Error for Error {}

impl From<wire::Error> for Error {
    fn from(error: wire::Error) -> Self {
        Self::Frame(error)
    }
}

impl From<h2::Error> for Error {
    fn from(_: h2::Error) -> Self {
        Self::ConnectionLost
    }
}
