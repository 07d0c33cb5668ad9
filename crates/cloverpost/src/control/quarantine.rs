//! Sends quarantine facts about poison requests to all peers.

use cloverpost_wire::Message;
use tokio::sync::mpsc;

use crate::control::Router;
use crate::quarantine;

/// Runs until the sending end of `outgoing` is dropped.
pub async fn run(mut outgoing: mpsc::Receiver<quarantine::Notification>, router: Router) {
    while let Some(notification) = outgoing.recv().await {
        router
            .deliver_all(&Message::Poison(notification.facts))
            .await;
        // The receiver is gone if the request was cancelled or its wait timed out.
        let _ = notification.done.send(());
    }
}
