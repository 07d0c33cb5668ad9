//! Messages received from peers.

use cloverpost_wire::{Message, hello};
use tokio::sync::{mpsc, oneshot};

/// Receives the messages of all peers in order of arrival.
pub type Inbox = mpsc::Receiver<Incoming>;

/// A message from a peer.
#[derive(Debug)]
pub struct Incoming {
    /// The sender, as it identified itself.
    pub from: hello::Identity,
    /// The message.
    pub message: Message,
    /// Sends the response; if dropped, the peer gets [`Error::Unanswered`](crate::peer::Error).
    pub reply: Reply,
}

/// Responds to one message.
#[derive(Debug)]
pub struct Reply(Option<oneshot::Sender<Message>>);

impl Reply {
    /// The reply to a request.
    pub(super) fn new(sender: oneshot::Sender<Message>) -> Self {
        Self(Some(sender))
    }

    /// The reply to a one-way message; sending it does nothing.
    pub(super) fn none() -> Self {
        Self(None)
    }

    /// Whether the peer is still waiting for a response.
    #[must_use]
    pub fn is_awaited(&self) -> bool {
        self.0.as_ref().is_some_and(|sender| !sender.is_closed())
    }

    /// Sends the response; it is discarded if the peer is no longer waiting.
    pub fn send(self, message: Message) {
        if let Some(sender) = self.0 {
            // Fails if the request has timed out.
            let _ = sender.send(message);
        }
    }
}
