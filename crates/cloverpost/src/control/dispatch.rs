//! Dispatches messages from peers to their handlers.

use cloverpost_wire::Message;

use crate::control::spread;
use crate::front;
use crate::peer;

/// Runs until the links are closed.
pub async fn run(
    mut inbox: peer::Inbox,
    front: front::State,
    members: peer::members::Handle,
    spread: spread::Handle,
) {
    while let Some(incoming) = inbox.recv().await {
        let from = incoming.from.vm;
        match incoming.message {
            Message::Membership(message) => members.receive(message, incoming.reply),
            Message::Spread(message) => spread.receive(from, message),
            Message::Billing(message) => front.billing.on_message(from, message).await,
            Message::Poison(facts) => {
                let now = front.clock.now();
                // Every VM gets each fact from the VM that found it.
                let _ = front.quarantine.merge(facts, now);
            }
            Message::Halts(halts) => front.ratings.receive_halts(halts),
            Message::Evidence(digest) => front.ratings.receive(from, digest),
            Message::Directory(_)
            | Message::Exposure(_)
            | Message::Balance(_)
            | Message::Throttle(_)
            | Message::Tunnel(_)
            | Message::Fragile(_)
            | Message::Pushback(_) => {
                log::debug!("ignored message from {from}: only used in gateway mode");
            }
            Message::Hello(_) => log::debug!("ignored repeated hello from {from}"),
        }
    }
}
