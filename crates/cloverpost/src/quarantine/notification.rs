//! Facts queued for peers.

use cloverpost_core::poison;
use tokio::sync::oneshot;

use crate::quarantine::Change;

/// Facts to send to peers.
#[derive(Debug)]
pub struct Notification {
    /// The facts to send.
    pub facts: Vec<poison::Fact>,
    /// What the facts changed on this VM.
    pub changes: Vec<Change>,
    /// Signalled once every peer has received the facts or is unreachable.
    pub done: oneshot::Sender<()>,
}
