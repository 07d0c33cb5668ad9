//! Senders of chunked bodies.

use bytes::Bytes;
use tokio::sync::{mpsc, watch};

/// Number of chunks that the connection has consumed, or `None` before its first poll.
pub type Consumed = Option<usize>;

/// Sends the chunks of a body. Dropping the sender ends the body.
#[derive(Debug)]
pub struct BodySender {
    sender: mpsc::Sender<Bytes>,
    consumed: watch::Receiver<Consumed>,
    sent: usize,
}

impl BodySender {
    pub(super) const fn new(
        sender: mpsc::Sender<Bytes>,
        consumed: watch::Receiver<Consumed>,
    ) -> Self {
        Self {
            sender,
            consumed,
            sent: 0,
        }
    }

    /// Sends one chunk. It is discarded if the caller has disconnected.
    pub async fn send(&mut self, chunk: Bytes) {
        self.sent += 1;
        let _ = self.sender.send(chunk).await;
    }

    /// Waits until the connection has consumed all chunks and polls for the next.
    ///
    /// A connection writes the chunks that it has consumed before it closes, so they are not lost
    /// if it is closed after this call.
    pub async fn flush(&mut self) {
        let sent = self.sent;
        let _ = self
            .consumed
            .wait_for(|consumed| *consumed == Some(sent))
            .await;
    }

    /// Waits until the caller disconnects.
    pub fn closed(&self) -> impl Future<Output = ()> + use<> {
        let sender = self.sender.clone();
        async move { sender.closed().await }
    }
}
