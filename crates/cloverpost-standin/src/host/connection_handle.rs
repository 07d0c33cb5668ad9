//! Handles to connections.

use std::sync::Arc;

use tokio::sync::Notify;

/// Closes a connection from the handler of one of its requests.
#[derive(Clone, Debug, Default)]
pub struct ConnectionHandle {
    close: Arc<Notify>,
}

impl ConnectionHandle {
    /// Closes the connection, which cancels its requests.
    pub fn close(&self) {
        self.close.notify_one();
    }

    /// Waits until [`Self::close`] is called.
    pub(super) async fn closed(&self) {
        self.close.notified().await;
    }
}
