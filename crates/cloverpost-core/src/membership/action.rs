//! Actions that the state machine requests.

use crate::membership::{Event, Member, Message};

/// Identifies a request of this VM until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub(super) u64);

/// Identifies a peer's request until it is answered; chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Reply(pub u64);

/// An action that the caller of [`crate::membership::Fleet`] must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a request to a peer, and pass its response, or `None` on failure, to
    /// [`crate::membership::Fleet::handle_response`].
    Request {
        /// Identifies the request.
        token: Token,
        /// The peer.
        to: Member,
        /// The message.
        message: Message,
    },
    /// Send a message to a peer, without confirmation of delivery.
    Send {
        /// The peer.
        to: Member,
        /// The message.
        message: Message,
    },
    /// Answer a peer's request.
    Answer {
        /// The request.
        reply: Reply,
        /// The response.
        message: Message,
    },
    /// Close a peer's request without an answer.
    Decline {
        /// The request.
        reply: Reply,
    },
    /// Publish an event within this VM.
    Report(Event),
}
