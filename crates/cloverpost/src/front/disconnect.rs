//! Detects that a caller closed its connection.

use tokio::sync::oneshot;

/// Held by the connection. Dropping it signals the disconnect.
#[derive(Debug)]
pub struct ConnectionGuard(#[allow(dead_code)] oneshot::Sender<()>);

/// Resolves when the caller's connection is gone.
#[derive(Debug)]
pub struct Disconnect(oneshot::Receiver<()>);

/// Creates a connection's guard and the receiver of its disconnect.
pub fn channel() -> (ConnectionGuard, Disconnect) {
    let (sender, receiver) = oneshot::channel();
    (ConnectionGuard(sender), Disconnect(receiver))
}

impl Disconnect {
    /// Waits until the caller has disconnected.
    pub async fn disconnected(&mut self) {
        // No value is ever sent, so this resolves only when the guard is dropped.
        let _ = (&mut self.0).await;
    }
}
